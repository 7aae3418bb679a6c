// EndpointPlacement: where a request would be sent now, and why.
#include "wisteriayard/endpoint_placement.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace wisteriayard {

PlacementReport EndpointPlacement::explain(const PlacementRequest& request, TimePoint now) const
{
    // choose() updates averages and the turns of refused callers, which a question must not change.
    EndpointPlacement copy(*this);
    PlacementReport report { copy.choose(request, {}, now), {} };
    std::size_t poolSize = copy.m_pool.size(copy.m_pooledEndpoints, now);
    std::vector<std::size_t> preferred = copy.preferredEndpoints(request, poolSize, now);
    bool onlyEjected = copy.onlyEjectedRemain(request, now);
    for (const auto& [id, index] : copy.m_index) {
        const State& state = copy.m_states[index];
        Candidate candidate = copy.evaluate(index, request, preferred, poolSize, now);
        CandidateReport row;
        row.id = id;
        row.zone = state.info.zone;
        row.exclusion = copy.exclusion(state, request, {}, onlyEjected, now);
        row.cost = Duration(static_cast<std::int64_t>(candidate.cost));
        row.expectedFirstEvent = Duration(static_cast<std::int64_t>(candidate.firstEvent));
        row.uncachedTokens = candidate.uncached;
        row.tokensAhead = tokensAhead(state, request.rank);
        row.running = state.own.running + state.peers.running;
        row.preferred = candidate.preferred;
        row.queued = candidate.queued;
        report.candidates.push_back(std::move(row));
    }
    std::sort(
        report.candidates.begin(), report.candidates.end(), [](const CandidateReport& a, const CandidateReport& b) {
            return std::tuple(a.exclusion.has_value(), a.cost, a.id)
                < std::tuple(b.exclusion.has_value(), b.cost, b.id);
        });
    return report;
}

} // namespace wisteriayard
