#define BOOST_TEST_MODULE chat_api
#include "chat_api.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace wisteriayard;

namespace {

struct BadCase {
    const char* body;
    const char* message;
};

std::ostream& operator<<(std::ostream& out, const BadCase& c) { return out << c.body; }

// Guards against malformed requests that are forwarded to an engine or crash the process.
const BadCase badCases[] = {
    { "", "not a JSON object" },
    { "[]", "not a JSON object" },
    { R"({"messages":[]})", "model: expected a string" },
    { R"({"model":7,"messages":[]})", "model: expected a string" },
    { R"({"model":"m"})", "messages: expected a list" },
    { R"({"model":"m","messages":["hi"]})", "messages[0]: expected an object with a role" },
    { R"({"model":"m","messages":[{"role":"user","content":7}]})", "messages[0].content" },
    { R"({"model":"m","messages":[{"role":"user"}],"stream":"yes"})", "stream: expected true or false" },
    { R"({"model":"m","messages":[{"role":"user"}],"max_tokens":0})", "max_tokens: expected a whole number" },
    { R"({"model":"m","messages":[{"role":"user"}],"n":2})", "n: only 1" },
    { R"({"model":"m","messages":[{"role":"user"}],"n":null})", "n: only 1" },
    { R"({"model":"m","messages":[{"role":"user"}],"max_tokens":18446744073709551615})",
        "max_tokens: expected a whole number" },
    { R"({"model":"m","messages":[{"role":"user"}],"stream_options":{"include_usage":1}})", "include_usage: expected" },
    { R"({"model":"m","messages":[{"role":"user"}]} x)", "not a JSON object" },
    { R"({"model":"m","messages":[{"role":"user"}],"messages":[]})", "messages: expected a list" },
};

} // namespace

BOOST_DATA_TEST_CASE(rejects_bad_chat, boost::unit_test::data::make(badCases))
{
    auto request = parseChatRequest(sample.body);
    BOOST_REQUIRE(!request);
    BOOST_TEST(request.error().message.find(sample.message) != std::string::npos, request.error().message);
}

// Guards against a request whose document exhausts the stack of an agent, and against an uncounted copy of a long name.
BOOST_AUTO_TEST_CASE(depth_and_model_are_limited)
{
    auto body = [](std::size_t depth, std::size_t modelLength) {
        return R"({"model":")" + std::string(modelLength, 'm') + R"(","messages":[{"role":"user"}],"x":)"
            + std::string(depth, '[') + std::string(depth, ']') + "}";
    };
    BOOST_TEST(bool(parseChatRequest(body(255, 256))));
    BOOST_TEST(!parseChatRequest(body(256, 1)));
    BOOST_TEST(!parseChatRequest(body(500'000, 1)));
    BOOST_TEST(!parseChatRequest(body(1, 257)));
}

// Guards against an estimate or a shared prefix that differs from the text that the engine gets.
BOOST_AUTO_TEST_CASE(reads_fields_and_texts)
{
    auto request = parseChatRequest(
        R"({"messages":[{"role":"user","content":"dropped"}],"model":"a","stream":true,"n":1.0,"max_tokens":7,)"
        R"("stream_options":{"include_usage":true},"max_completion_tokens":null,"metadata":{"role":[{"text":"no"}]},)"
        R"("messages":[{"content":[{"type":"text","text":"12","text":"12345678"},{"image":{"text":"no"}},"no",)"
        R"({"text":"9abc"}],"role":"system"},{"role":"user","content":"def"},{"role":"user","content":null}],)"
        R"("model":"m"})");
    BOOST_REQUIRE(request);
    BOOST_TEST(request.value().model.value() == "m");
    BOOST_TEST(request.value().stream);
    BOOST_TEST(request.value().includeUsage);
    BOOST_TEST(request.value().maxTokens->value() == 7);
    BOOST_TEST(request.value().promptTokens.value() == 15 / 4 + 1);
    BOOST_TEST(request.value().prefixTokens.value() == 3);
    BOOST_TEST(request.value().prefixHash == std::hash<std::string_view> {}("123456789abc"));
    std::string longText(5000, 'x');
    request = parseChatRequest(R"({"model":"m","messages":[{"role":"user","content":")" + longText + R"("}]})");
    BOOST_REQUIRE(request);
    BOOST_TEST(request.value().promptTokens.value() == 1251);
    BOOST_TEST(request.value().prefixHash == std::hash<std::string_view> {}(longText.substr(0, 1024)));
}

// Guards against a resumed response that starts over, and against forwarding the caller's user name to the engine.
BOOST_AUTO_TEST_CASE(engine_body_resumes)
{
    std::string body = R"({"model":"m","messages":[{"role":"user","content":"hi"}],"user":"mallory"})";
    auto result = engineRequestBody(body, Priority(3), "so far");
    BOOST_REQUIRE(result);
    auto json = nlohmann::json::parse(result.value());
    BOOST_TEST(json["messages"].size() == 2u);
    BOOST_TEST(json["messages"][1]["content"] == "so far");
    BOOST_TEST(json["continue_final_message"].get<bool>());
    BOOST_TEST(json["priority"] == 3);
    BOOST_TEST(!json.contains("user"));
}

BOOST_AUTO_TEST_CASE(engine_event_forms)
{
    BOOST_TEST(parseEngineEvent("[DONE]").value().done);
    auto event = parseEngineEvent(R"({"choices":[{"delta":{"content":"a"},"finish_reason":"stop"}],)"
                                  R"("usage":{"prompt_tokens":3,"completion_tokens":1}})");
    BOOST_TEST(event.value().text == "a");
    BOOST_TEST(event.value().finishReason == "stop");
    BOOST_TEST(event.value().usage->prompt.value() == 3);
    BOOST_TEST(!parseEngineEvent("{"));
    BOOST_TEST(!parseEngineEvent(R"({"choices":[1]})"));
}
