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
};

} // namespace

BOOST_DATA_TEST_CASE(rejects_bad_chat, boost::unit_test::data::make(badCases))
{
    auto request = parseChatRequest(sample.body);
    BOOST_REQUIRE(!request);
    BOOST_TEST(request.error().message.find(sample.message) != std::string::npos, request.error().message);
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
