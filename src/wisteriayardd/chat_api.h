#pragma once

#include "wisteriayard/error.h"
#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wisteriayard {

/// Fields read from the body of a chat request; the body itself is forwarded to the engine.
struct ChatRequest {
    TargetId model;
    bool stream = false;
    bool includeUsage = false;
    std::optional<Tokens> maxTokens;
    /// Estimated from the length of the messages.
    Tokens promptTokens { 0 };
    /// Hash of the leading part of the prompt that other requests may share.
    std::uint64_t prefixHash = 0;
    /// Estimated tokens of that part.
    Tokens prefixTokens { 0 };
};

/// Token counts of a response.
struct TokenUsage {
    Tokens prompt { 0 };
    Tokens cached { 0 };
    Tokens output { 0 };
};

/// Parses and checks a chat request.
/// @return the request, or InvalidArgument naming the field and its allowed values
Result<ChatRequest> parseChatRequest(std::string_view body);

/// Builds the body for the engine from the caller's: streamed, with a priority, and continuing text already delivered.
/// @param body the caller's body, already checked by parseChatRequest()
/// @param resumeText text delivered by earlier attempts; empty for the first attempt
Result<std::string> engineRequestBody(std::string_view body, Priority priority, std::string_view resumeText);

/// A server-sent event with one chunk of the response text.
std::string chunkEvent(const RequestId& request, const TargetId& model, std::int64_t created, std::string_view text);
/// The final events of a stream: finish reason, usage if requested, and `[DONE]`.
std::string finalEvents(const RequestId& request, const TargetId& model, std::int64_t created,
    std::string_view finishReason, const std::optional<TokenUsage>& usage);
/// Body of a response that is not streamed.
std::string completionBody(const RequestId& request, const TargetId& model, std::int64_t created, std::string_view text,
    std::string_view finishReason, const TokenUsage& usage);

/// Content of a server-sent event of an engine.
struct EngineEvent {
    std::string text;
    std::string finishReason;
    std::optional<TokenUsage> usage;
    bool done = false;
};

/// Parses the data of an engine's event.
Result<EngineEvent> parseEngineEvent(std::string_view data);

} // namespace wisteriayard
