#include "chat_api.h"

#include <nlohmann/json.hpp>

namespace wisteriayard {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t charactersPerToken = 4;
    /// Length of the prefix that is hashed if the prompt is a single message, in characters.
    constexpr std::size_t prefixCharacters = 1024;
    constexpr std::int64_t maxMaxTokens = 10'000'000;

    std::string dump(const Json& json) { return json.dump(-1, ' ', false, Json::error_handler_t::replace); }

    /// Length of the prefix that other requests are likely to share: the first message, if more follow.
    std::size_t prefixLength(std::size_t messages, std::size_t firstMessage)
    {
        return messages > 1 ? firstMessage : std::min(firstMessage, prefixCharacters);
    }

    Error badField(const std::string& message) { return Error { Errc::InvalidArgument, message }; }

    /// Text of a message's content, which is a string or an array of parts; parts without text are ignored.
    Result<std::string> contentText(const Json& message, std::size_t index)
    {
        std::string path = "messages[" + std::to_string(index) + "]";
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string())
            return badField(path + ": expected an object with a role");
        if (!message.contains("content") || message["content"].is_null())
            return std::string();
        const Json& content = message["content"];
        if (content.is_string())
            return content.get<std::string>();
        if (!content.is_array())
            return badField(path + ".content: expected a string or a list of parts");
        std::string text;
        for (const Json& part : content) {
            if (part.is_object() && part.contains("text") && part["text"].is_string())
                text += part["text"].get<std::string>();
        }
        return text;
    }

    Result<bool> readFlag(const Json& json, const char* name)
    {
        if (!json.contains(name) || json[name].is_null())
            return false;
        if (!json[name].is_boolean())
            return badField(std::string(name) + ": expected true or false");
        return json[name].get<bool>();
    }

    Result<std::optional<Tokens>> readMaxTokens(const Json& json)
    {
        for (const char* name : { "max_completion_tokens", "max_tokens" }) {
            if (!json.contains(name) || json[name].is_null())
                continue;
            const Json& value = json[name];
            if (!value.is_number_integer() || value.get<std::int64_t>() < 1 || value.get<std::int64_t>() > maxMaxTokens)
                return badField(
                    std::string(name) + ": expected a whole number from 1 to " + std::to_string(maxMaxTokens));
            return std::optional<Tokens>(Tokens(value.get<std::int64_t>()));
        }
        return std::optional<Tokens>();
    }

    Json chunkJson(const RequestId& request, const TargetId& model, std::int64_t created)
    {
        return { { "id", "chatcmpl-" + request.value() }, { "object", "chat.completion.chunk" }, { "created", created },
            { "model", model.value() } };
    }

    Json usageJson(const TokenUsage& usage)
    {
        return { { "prompt_tokens", usage.prompt.value() }, { "completion_tokens", usage.output.value() },
            { "total_tokens", (usage.prompt + usage.output).value() },
            { "prompt_tokens_details", { { "cached_tokens", usage.cached.value() } } } };
    }

    Tokens tokenCount(const Json& json, const char* name)
    {
        return Tokens(json.contains(name) && json[name].is_number_integer() ? json[name].get<std::int64_t>() : 0);
    }

    TokenUsage readUsage(const Json& json)
    {
        TokenUsage usage;
        usage.prompt = tokenCount(json, "prompt_tokens");
        usage.output = tokenCount(json, "completion_tokens");
        if (json.contains("prompt_tokens_details") && json["prompt_tokens_details"].is_object())
            usage.cached = tokenCount(json["prompt_tokens_details"], "cached_tokens");
        return usage;
    }

} // namespace

Result<ChatRequest> parseChatRequest(std::string_view body)
{
    Json json = Json::parse(body, nullptr, false);
    if (!json.is_object())
        return badField("the body is not a JSON object");
    if (!json.contains("model") || !json["model"].is_string())
        return badField("model: expected a string");
    if (!json.contains("messages") || !json["messages"].is_array() || json["messages"].empty())
        return badField("messages: expected a list with at least one message");
    ChatRequest request;
    request.model = TargetId(json["model"].get<std::string>());
    std::string prompt;
    std::size_t prefix = 0;
    for (std::size_t i = 0; i < json["messages"].size(); ++i) {
        BOOST_OUTCOME_TRY(auto text, contentText(json["messages"][i], i));
        prompt += text;
        if (i == 0)
            prefix = prefixLength(json["messages"].size(), text.size());
    }
    if (json.contains("n") && json["n"] != 1)
        return badField("n: only 1 is supported");
    BOOST_OUTCOME_TRY(request.stream, readFlag(json, "stream"));
    BOOST_OUTCOME_TRY(request.maxTokens, readMaxTokens(json));
    if (json.contains("stream_options") && json["stream_options"].is_object()) {
        BOOST_OUTCOME_TRY(request.includeUsage, readFlag(json["stream_options"], "include_usage"));
    }
    request.promptTokens = Tokens(static_cast<std::int64_t>(prompt.size() / charactersPerToken + 1));
    request.prefixHash = std::hash<std::string_view> {}(std::string_view(prompt).substr(0, prefix));
    request.prefixTokens = Tokens(static_cast<std::int64_t>(prefix / charactersPerToken));
    return request;
}

Result<std::string> engineRequestBody(std::string_view body, Priority priority, std::string_view resumeText)
{
    Json json = Json::parse(body, nullptr, false);
    if (!json.is_object())
        return badField("the body is not a JSON object");
    json["stream"] = true;
    json["stream_options"] = { { "include_usage", true } };
    json["priority"] = priority.value();
    // Drops the user name that the caller claims: the account is determined by the key only.
    json.erase("user");
    if (!resumeText.empty()) {
        json["messages"].push_back({ { "role", "assistant" }, { "content", resumeText } });
        json["continue_final_message"] = true;
        json["add_generation_prompt"] = false;
    }
    return dump(json);
}

std::string chunkEvent(const RequestId& request, const TargetId& model, std::int64_t created, std::string_view text)
{
    Json json = chunkJson(request, model, created);
    Json choice = { { "index", 0 }, { "delta", { { "content", text } } }, { "finish_reason", nullptr } };
    json["choices"] = Json::array({ choice });
    return "data: " + dump(json) + "\n\n";
}

std::string finalEvents(const RequestId& request, const TargetId& model, std::int64_t created,
    std::string_view finishReason, const std::optional<TokenUsage>& usage)
{
    Json json = chunkJson(request, model, created);
    Json choice = { { "index", 0 }, { "delta", Json::object() }, { "finish_reason", finishReason } };
    json["choices"] = Json::array({ choice });
    std::string text = "data: " + dump(json) + "\n\n";
    if (usage) {
        json["choices"] = Json::array();
        json["usage"] = usageJson(*usage);
        text += "data: " + dump(json) + "\n\n";
    }
    return text + "data: [DONE]\n\n";
}

std::string completionBody(const RequestId& request, const TargetId& model, std::int64_t created, std::string_view text,
    std::string_view finishReason, const TokenUsage& usage)
{
    Json json = chunkJson(request, model, created);
    json["object"] = "chat.completion";
    Json message = { { "role", "assistant" }, { "content", text } };
    Json choice = { { "index", 0 }, { "message", message }, { "finish_reason", finishReason } };
    json["choices"] = Json::array({ choice });
    json["usage"] = usageJson(usage);
    return dump(json);
}

Result<EngineEvent> parseEngineEvent(std::string_view data)
{
    EngineEvent event;
    if (data == "[DONE]") {
        event.done = true;
        return event;
    }
    Json json = Json::parse(data, nullptr, false);
    if (!json.is_object())
        return fail(Errc::Protocol, "engine event is not a JSON object");
    if (json.contains("usage") && json["usage"].is_object())
        event.usage = readUsage(json["usage"]);
    if (!json.contains("choices") || !json["choices"].is_array() || json["choices"].empty())
        return event;
    const Json& choice = json["choices"][0];
    if (!choice.is_object())
        return fail(Errc::Protocol, "engine event has a choice that is not an object");
    if (choice.contains("delta") && choice["delta"].is_object()) {
        const Json& delta = choice["delta"];
        if (delta.contains("content") && delta["content"].is_string())
            event.text = delta["content"].get<std::string>();
    }
    if (choice.contains("finish_reason") && choice["finish_reason"].is_string())
        event.finishReason = choice["finish_reason"].get<std::string>();
    return event;
}

} // namespace wisteriayard
