#include "decision_log.h"

namespace wisteriayard {

using Json = nlohmann::json;

Json keyInputs(const ConfigView& view, const KeyHash& key)
{
    auto record = view.key(key);
    Json inputs = Json::object();
    inputs["key_hash"] = key.value();
    inputs["key_state"] = !record ? "unknown" : record->withdrawn ? "withdrawn" : "valid";
    inputs["key_revision"] = view.keyRevision(key).value();
    if (record)
        inputs["account"] = record->account.value();
    return inputs;
}

Json classificationInputs(const RequestAttributes& request, Revision contractRevision)
{
    Json inputs = Json::object();
    inputs["target"] = request.target.value();
    inputs["method"] = request.method;
    inputs["path"] = request.path;
    if (request.maxTokens)
        inputs["max_tokens"] = request.maxTokens->value();
    inputs["contract_revision"] = contractRevision.value();
    return inputs;
}

Json waitInputs(const AccountId& account, const RequestClass& requestClass, Revision contractRevision, Duration waited)
{
    Json inputs = Json::object();
    inputs["account"] = account.value();
    inputs["class"] = requestClass.name.value();
    inputs["tier"] = tierName(requestClass.tier);
    inputs["contract_revision"] = contractRevision.value();
    inputs["waited_us"] = waited.count();
    inputs["longest_wait_us"] = requestClass.longestWait.count();
    return inputs;
}

} // namespace wisteriayard
