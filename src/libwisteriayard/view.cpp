#include "wisteriayard/view.h"

#include <nlohmann/json.hpp>

namespace wisteriayard {

namespace {

    using Json = nlohmann::json;

    bool startsWith(std::string_view text, std::string_view prefix) { return text.substr(0, prefix.size()) == prefix; }

    Result<KeyRecord> parseKeyRecord(std::string_view text)
    {
        Json json = Json::parse(text, nullptr, false);
        if (!json.is_object() || !json.contains("account") || !json["account"].is_string())
            return fail(Errc::InvalidArgument, "key record: expected an object with the string \"account\"");
        KeyRecord record;
        record.account = AccountId(json["account"].get<std::string>());
        // A record with an invalid "withdrawn" value counts as withdrawn: a wrong refusal does less harm than a wrong
        // admission.
        auto withdrawn = json.find("withdrawn");
        record.withdrawn = withdrawn != json.end() && !(withdrawn->is_boolean() && !withdrawn->get<bool>());
        return record;
    }

} // namespace

Result<ViewChange> ConfigView::apply(std::string_view key, std::string_view value, Revision revision)
{
    if (revision <= Revision(0))
        return fail(Errc::InvalidArgument, "revision " + std::to_string(revision.value()) + " is not above 0");
    if (startsWith(key, contractPrefix))
        return applyContract(AccountId(std::string(key.substr(contractPrefix.size()))), value, revision);
    if (startsWith(key, keyPrefix))
        return applyKey(KeyHash(std::string(key.substr(keyPrefix.size()))), value, revision);
    return ViewChange(NoChange {});
}

Result<ViewChange> ConfigView::applyContract(const AccountId& account, std::string_view value, Revision revision)
{
    auto& entry = m_contracts[account];
    if (revision <= entry.revision)
        return ViewChange(NoChange {});
    if (value.empty()) {
        entry = { nullptr, revision };
        m_newestChange = std::max(m_newestChange, revision);
        return ViewChange(ContractChanged { account, revision });
    }
    auto contract = parseContract(value);
    if (!contract)
        return contract.error();
    if (contract.value().account != account)
        return fail(Errc::InvalidArgument,
            "contract of " + account.value() + " names the account " + contract.value().account.value());
    entry = { std::make_shared<const Contract>(std::move(contract.value())), revision };
    m_newestChange = std::max(m_newestChange, revision);
    return ViewChange(ContractChanged { account, revision });
}

Result<ViewChange> ConfigView::applyKey(const KeyHash& hash, std::string_view value, Revision revision)
{
    auto& entry = m_keys[hash];
    if (revision <= entry.revision)
        return ViewChange(NoChange {});
    bool wasWithdrawn = entry.record.withdrawn;
    if (value.empty()) {
        entry.record.withdrawn = true;
    } else {
        auto record = parseKeyRecord(value);
        if (!record)
            return record.error();
        entry.record = record.value();
    }
    entry.revision = revision;
    m_newestChange = std::max(m_newestChange, revision);
    if (entry.record.withdrawn && !wasWithdrawn)
        return ViewChange(KeyWithdrawn { hash });
    return ViewChange(NoChange {});
}

Revision ConfigView::keyRevision(const KeyHash& hash) const
{
    auto it = m_keys.find(hash);
    return it == m_keys.end() ? Revision(0) : it->second.revision;
}

void ConfigView::markCompleteTo(Revision revision)
{
    m_revision = std::max(m_revision, revision);
    if (!m_pendingRevision || m_pendingRevision->revision > m_revision)
        return;
    m_confirmedAt = std::max(m_confirmedAt, m_pendingRevision->requestedAt);
    m_pendingRevision.reset();
}

void ConfigView::recordSourceRevision(Revision revision, TimePoint requestedAt)
{
    // Keeps an older pending revision, so that a watch that lags slightly still confirms the view.
    if (!m_pendingRevision)
        m_pendingRevision = PendingRevision { revision, requestedAt };
    markCompleteTo(m_revision);
    if (revision <= m_revision)
        m_confirmedAt = std::max(m_confirmedAt, requestedAt);
}

void ConfigView::confirmCompleteTo(Revision revision, TimePoint now)
{
    markCompleteTo(revision);
    m_confirmedAt = std::max(m_confirmedAt, now);
}

std::optional<KeyRecord> ConfigView::key(const KeyHash& hash) const
{
    auto it = m_keys.find(hash);
    if (it == m_keys.end() || it->second.revision == Revision(0))
        return std::nullopt;
    return it->second.record;
}

std::shared_ptr<const Contract> ConfigView::contract(const AccountId& account) const
{
    auto it = m_contracts.find(account);
    return it == m_contracts.end() ? nullptr : it->second.contract;
}

Revision ConfigView::contractRevision(const AccountId& account) const
{
    auto it = m_contracts.find(account);
    return it == m_contracts.end() ? Revision(0) : it->second.revision;
}

} // namespace wisteriayard
