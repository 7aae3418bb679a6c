#pragma once

#include "wisteriayard/error.h"
#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wisteriayard {

/// What is read from the body of a chat request; the body itself goes on to the engine.
struct ChatRequest {
    TargetId model;
    bool stream = false;
    bool includeUsage = false;
    std::optional<Tokens> maxTokens;
    /// Estimate from the length of the messages.
    Tokens promptTokens { 0 };
    /// Hash of the leading part of the messages.
    std::uint64_t prefixHash = 0;
    /// Estimated tokens of that part.
    Tokens prefixTokens { 0 };
};

/// Token counts of an answer.
struct TokenUsage {
    Tokens prompt { 0 };
    Tokens cached { 0 };
    Tokens output { 0 };
};

/// Parses and checks a chat request.
/// @return the request, or InvalidArgument that names the field and what is allowed
Result<ChatRequest> parseChatRequest(std::string_view body);

/// Body for the engine: the caller's, streamed, with a priority, and going on after text already delivered.
/// @param body checked body of the caller
/// @param resumeText text that earlier attempts delivered; empty at first
Result<std::string> engineRequestBody(std::string_view body, Priority priority, std::string_view resumeText);

/// One server-sent event with a part of an answer.
std::string chunkEvent(const RequestId& request, const TargetId& model, std::int64_t created, std::string_view text);
/// The last event of an answer, the usage if asked for, and the end mark.
std::string finalEvents(const RequestId& request, const TargetId& model, std::int64_t created,
    std::string_view finishReason, const std::optional<TokenUsage>& usage);
/// Body of an answer that is not streamed.
std::string completionBody(const RequestId& request, const TargetId& model, std::int64_t created, std::string_view text,
    std::string_view finishReason, const TokenUsage& usage);

/// What one server-sent event of an engine holds.
struct EngineEvent {
    std::string text;
    std::string finishReason;
    std::optional<TokenUsage> usage;
    bool done = false;
};

/// Parses the data of an engine's event.
Result<EngineEvent> parseEngineEvent(std::string_view data);

} // namespace wisteriayard
