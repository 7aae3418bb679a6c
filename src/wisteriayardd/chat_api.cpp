#include "chat_api.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <map>
#include <vector>

namespace wisteriayard {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t charactersPerToken = 4;
    /// Length of the prefix that is hashed if the prompt is a single message, in characters.
    constexpr std::size_t prefixCharacters = 1024;
    constexpr std::int64_t maxMaxTokens = 10'000'000;
    /// Most levels of objects and lists. Writing a document recurses once for each level, and 500,000 levels exhausted
    /// the stack of an agent.
    constexpr std::size_t maxDepth = 256;
    /// The name is copied for the life of the request and is not counted in the memory of bodies.
    constexpr std::size_t maxModelLength = 256;
    /// Longer than the names of all fields that are read.
    constexpr std::size_t maxNameLength = 32;

    std::string dump(const Json& json) { return json.dump(-1, ' ', false, Json::error_handler_t::replace); }

    /// Length of the prefix that other requests are likely to share: the first message, if more follow.
    std::size_t prefixLength(std::size_t messages, std::size_t firstMessage)
    {
        return messages > 1 ? firstMessage : std::min(firstMessage, prefixCharacters);
    }

    Error badField(const std::string& message) { return Error { Errc::InvalidArgument, message }; }

    /// Reads the fields of a chat request while the text is parsed. A document in memory takes up to 32 times the size
    /// of the text; this keeps only the text of the first message. A repeated name replaces the earlier value, as in a
    /// document.
    class ChatReader : public nlohmann::json_sax<Json> {
    public:
        bool isTooDeep() const { return m_isTooDeep; }
        /// @return the request, or InvalidArgument
        Result<ChatRequest> result() const;

        bool null() override { return read({ Kind::Null }); }
        bool boolean(bool value) override { return read({ Kind::Boolean, value }); }
        bool number_integer(number_integer_t value) override { return read({ Kind::Integer, false, value }); }
        bool number_unsigned(number_unsigned_t value) override
        {
            constexpr auto largest = static_cast<number_unsigned_t>(std::numeric_limits<std::int64_t>::max());
            return read({ Kind::Integer, false, static_cast<std::int64_t>(std::min(value, largest)) });
        }
        bool number_float(number_float_t value, const string_t&) override
        {
            return read({ Kind::Float, false, value == 1.0 ? 1 : 0 });
        }
        bool string(string_t& value) override { return read({ Kind::String }, &value); }
        bool binary(binary_t&) override { return false; }
        bool start_object(std::size_t) override { return open({ Kind::Object }); }
        bool key(string_t& value) override
        {
            m_open.back().name = value.substr(0, maxNameLength);
            return true;
        }
        bool end_object() override { return close(); }
        bool start_array(std::size_t) override { return open({ Kind::Array }); }
        bool end_array() override { return close(); }
        bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override { return false; }

    private:
        enum class Kind {
            Absent,
            Null,
            Boolean,
            Integer,
            Float,
            String,
            Object,
            Array,
        };
        struct Value {
            Kind kind = Kind::Absent;
            bool boolean = false;
            std::int64_t integer = 0;
        };
        /// An object or array that has not ended, and the name of the value that is being read in it.
        struct Container {
            bool isArray = false;
            std::string name;
        };
        /// The message that is being read.
        struct Message {
            Kind kind = Kind::Absent;
            Kind role = Kind::Absent;
            Kind content = Kind::Absent;
            /// Length of its text, and of its text before the current part.
            std::size_t length = 0;
            std::size_t lengthBeforePart = 0;
        };

        Value field(const char* name) const
        {
            auto it = m_fields.find(name);
            return it == m_fields.end() ? Value {} : it->second;
        }
        Result<bool> flag(const Value& value, const char* name) const;
        Result<std::optional<Tokens>> maxTokens() const;

        bool read(const Value& value, std::string* text = nullptr);
        bool open(const Value& value);
        bool close();
        void readField(const Value& value, std::string* text);
        void readMessageField(const Value& value, std::string* text);
        void setText(std::size_t before, std::string* text);
        void endMessage();
        /// Whether the value that begins is at this depth within a message.
        bool isInMessages(std::size_t depth) const
        {
            return m_open.size() >= depth && m_open[0].name == "messages" && m_open[1].isArray;
        }

        std::vector<Container> m_open;
        bool m_isObject = false;
        bool m_isTooDeep = false;
        bool m_isModelTooLong = false;
        std::map<std::string, Value> m_fields;
        Value m_includeUsage;
        std::string m_model;
        std::size_t m_messages = 0;
        Message m_message;
        std::string m_messageError;
        std::string m_firstText;
        std::size_t m_promptLength = 0;
    };

    bool ChatReader::read(const Value& value, std::string* text)
    {
        std::size_t depth = m_open.size();
        if (depth == 0)
            m_isObject = value.kind == Kind::Object;
        else if (depth == 1)
            readField(value, text);
        else if (depth == 2 && m_open[0].name == "stream_options" && m_open[1].name == "include_usage")
            m_includeUsage = value;
        else if (depth == 2 && isInMessages(2)) {
            m_message = { value.kind };
            if (value.kind != Kind::Object)
                endMessage();
        } else if (depth >= 3 && isInMessages(3) && !m_open[2].isArray)
            readMessageField(value, text);
        return true;
    }

    void ChatReader::readField(const Value& value, std::string* text)
    {
        const std::string& name = m_open[0].name;
        for (const char* known :
            { "model", "messages", "n", "stream", "max_completion_tokens", "max_tokens", "stream_options" }) {
            if (name == known)
                m_fields[name] = value;
        }
        if (name == "model" && text) {
            m_isModelTooLong = text->size() > maxModelLength;
            m_model = text->substr(0, maxModelLength);
        } else if (name == "messages") {
            m_messages = 0;
            m_messageError.clear();
            m_firstText.clear();
            m_promptLength = 0;
        } else if (name == "stream_options")
            m_includeUsage = {};
    }

    void ChatReader::readMessageField(const Value& value, std::string* text)
    {
        std::size_t depth = m_open.size();
        const std::string& name = m_open[2].name;
        if (depth == 3 && name == "role")
            m_message.role = value.kind;
        if (name != "content")
            return;
        if (depth == 3) {
            m_message.content = value.kind;
            setText(0, text);
        } else if (depth == 4)
            m_message.lengthBeforePart = m_message.length;
        else if (depth == 5 && m_open[3].isArray && !m_open[4].isArray && m_open[4].name == "text")
            setText(m_message.lengthBeforePart, text);
    }

    /// Replaces the text of the message after its first bytes.
    void ChatReader::setText(std::size_t before, std::string* text)
    {
        m_message.length = before + (text ? text->size() : 0);
        if (m_messages > 0)
            return;
        m_firstText.resize(before);
        if (text && before == 0)
            m_firstText = std::move(*text);
        else if (text)
            m_firstText += *text;
    }

    bool ChatReader::open(const Value& value)
    {
        m_isTooDeep = m_open.size() >= maxDepth;
        if (m_isTooDeep)
            return false;
        read(value);
        m_open.push_back({ value.kind == Kind::Array, {} });
        return true;
    }

    bool ChatReader::close()
    {
        m_open.pop_back();
        if (m_open.size() == 2 && isInMessages(2))
            endMessage();
        return true;
    }

    void ChatReader::endMessage()
    {
        std::string path = "messages[" + std::to_string(m_messages) + "]";
        ++m_messages;
        m_promptLength += m_message.length;
        if (!m_messageError.empty())
            return;
        if (m_message.kind != Kind::Object || m_message.role != Kind::String)
            m_messageError = path + ": expected an object with a role";
        else if (m_message.content != Kind::Absent && m_message.content != Kind::Null
            && m_message.content != Kind::String && m_message.content != Kind::Array)
            m_messageError = path + ".content: expected a string or a list of parts";
    }

    Result<bool> ChatReader::flag(const Value& value, const char* name) const
    {
        if (value.kind == Kind::Absent || value.kind == Kind::Null)
            return false;
        if (value.kind != Kind::Boolean)
            return badField(std::string(name) + ": expected true or false");
        return value.boolean;
    }

    Result<std::optional<Tokens>> ChatReader::maxTokens() const
    {
        for (const char* name : { "max_completion_tokens", "max_tokens" }) {
            Value value = field(name);
            if (value.kind == Kind::Absent || value.kind == Kind::Null)
                continue;
            if (value.kind != Kind::Integer || value.integer < 1 || value.integer > maxMaxTokens)
                return badField(
                    std::string(name) + ": expected a whole number from 1 to " + std::to_string(maxMaxTokens));
            return std::optional<Tokens>(Tokens(value.integer));
        }
        return std::optional<Tokens>();
    }

    Result<ChatRequest> ChatReader::result() const
    {
        if (!m_isObject)
            return badField("the body is not a JSON object");
        if (field("model").kind != Kind::String)
            return badField("model: expected a string");
        if (m_isModelTooLong)
            return badField("model: expected at most " + std::to_string(maxModelLength) + " characters");
        if (field("messages").kind != Kind::Array || m_messages == 0)
            return badField("messages: expected a list with at least one message");
        if (!m_messageError.empty())
            return badField(m_messageError);
        Value choices = field("n");
        bool isNumber = choices.kind == Kind::Integer || choices.kind == Kind::Float;
        if (choices.kind != Kind::Absent && !(isNumber && choices.integer == 1))
            return badField("n: only 1 is supported");
        ChatRequest request;
        request.model = TargetId(m_model);
        BOOST_OUTCOME_TRY(request.stream, flag(field("stream"), "stream"));
        BOOST_OUTCOME_TRY(request.maxTokens, maxTokens());
        if (field("stream_options").kind == Kind::Object) {
            BOOST_OUTCOME_TRY(request.includeUsage, flag(m_includeUsage, "include_usage"));
        }
        std::size_t prefix = prefixLength(m_messages, m_firstText.size());
        request.promptTokens = Tokens(static_cast<std::int64_t>(m_promptLength / charactersPerToken + 1));
        request.prefixHash = std::hash<std::string_view> {}(std::string_view(m_firstText).substr(0, prefix));
        request.prefixTokens = Tokens(static_cast<std::int64_t>(prefix / charactersPerToken));
        return request;
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
    ChatReader reader;
    bool isParsed = Json::sax_parse(body, &reader);
    if (reader.isTooDeep())
        return badField("the body has more than " + std::to_string(maxDepth) + " levels");
    if (!isParsed)
        return badField("the body is not a JSON object");
    return reader.result();
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
