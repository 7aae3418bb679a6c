#define BOOST_TEST_MODULE selector_cost
#include "wisteriayard/endpoint_selector.h"
#include "wisteriayard/scheduler.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <new>

using namespace wisteriayard;

namespace {

std::uint64_t allocations = 0;

} // namespace

// Counts the allocations of the whole program.
void* operator new(std::size_t size)
{
    ++allocations;
    if (void* memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}

void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }

namespace {

constexpr int accounts = 6000;
constexpr int selections = 20'000;

EndpointInfo endpoint(int number)
{
    const char* zones[] = { "z1", "z2", "z3" };
    const char* regions[] = { "r1", "r1", "r2" };
    int zone = number % 3;
    return { EndpointId("e" + std::to_string(number)), TargetId("m"), ZoneId(zones[zone]), RegionId(regions[zone]),
        16 };
}

struct Cost {
    double inspected = 0;
    std::uint64_t allocated = 0;
};

/// Cost of one selection with half of the slots in use.
Cost measure(int endpoints)
{
    EndpointSelector selector(ZoneId("z1"), RegionId("r1"));
    LinkBudget link(1e6);
    for (int i = 0; i < endpoints; ++i)
        selector.add(endpoint(i), TimePoint());
    std::vector<EndpointSelector::Index> running;
    running.reserve(static_cast<std::size_t>(endpoints) * 16);
    TimePoint now {};
    auto once = [&](std::uint64_t number) {
        now += Duration(100);
        EndpointQuery query { 2500, 80, 2400, (number % accounts + 1) * 0x9E3779B97F4A7C15ULL, false, true };
        auto chosen = selector.choose(query, link, now);
        BOOST_REQUIRE(chosen.has_value());
        std::int64_t prefill = selector.started(*chosen, query, now);
        selector.prefillDone(*chosen, prefill);
        if (running.size() < static_cast<std::size_t>(endpoints) * 4) {
            running.push_back(*chosen);
            return;
        }
        std::size_t place = number % running.size();
        selector.ended(running[place], 80, now);
        running[place] = *chosen;
    };
    for (std::uint64_t i = 0; i < selections; ++i)
        once(i);
    std::uint64_t inspectedBefore = selector.inspected();
    std::uint64_t allocatedBefore = allocations;
    for (std::uint64_t i = 0; i < selections; ++i)
        once(i);
    return { static_cast<double>(selector.inspected() - inspectedBefore) / selections, allocations - allocatedBefore };
}

} // namespace

// Guards against a selection that scans all endpoints or allocates memory.
BOOST_AUTO_TEST_CASE(cost_does_not_grow_with_endpoints)
{
    Cost few = measure(37);
    for (int endpoints : { 37, 370, 3700 }) {
        Cost cost = measure(endpoints);
        BOOST_TEST_MESSAGE(endpoints << " endpoints: " << cost.inspected << " inspected, ratio "
                                     << cost.inspected / few.inspected << ", allocations " << cost.allocated);
        BOOST_TEST(cost.inspected <= few.inspected * 1.1);
        BOOST_TEST(cost.allocated == 0u);
    }
}

// Guards against a dispatch whose allocations grow with the number of endpoints or of waiting requests.
BOOST_AUTO_TEST_CASE(dispatch_does_not_grow_with_queue)
{
    auto allocationsPerRequest = [](int endpoints, int waiting) {
        SchedulerSettings settings;
        settings.maxQueued = 100'000;
        Scheduler scheduler(ZoneId("z1"), RegionId("r1"), settings);
        for (int i = 0; i < endpoints; ++i)
            scheduler.endpointAdded(endpoint(i), TimePoint());
        auto request = [](int number) {
            RequestInfo info;
            info.id = RequestId("r" + std::to_string(number));
            info.account = AccountId("a" + std::to_string(number % accounts));
            info.target = TargetId("m");
            info.longestWait = std::chrono::hours(1);
            return info;
        };
        std::vector<RequestId> running;
        auto note = [&](const Scheduler::Decisions& decisions) {
            for (const Decision& decision : decisions) {
                if (const auto* dispatch = std::get_if<Dispatch>(&decision))
                    running.push_back(dispatch->request);
            }
        };
        int number = 0;
        while (scheduler.queued() < static_cast<std::size_t>(waiting))
            note(scheduler.submit(request(number++), TimePoint()));
        constexpr int rounds = 2000;
        std::uint64_t before = allocations;
        for (int i = 0; i < rounds; ++i) {
            RequestId done = running[static_cast<std::size_t>(i)];
            note(scheduler.finished(done, {}, TimePoint()));
            note(scheduler.submit(request(number++), TimePoint()));
        }
        return static_cast<double>(allocations - before) / rounds;
    };
    // In both cases every account has waiting requests, so that only the numbers of endpoints and requests differ.
    double few = allocationsPerRequest(37, 2 * accounts);
    double many = allocationsPerRequest(3700, 10 * accounts);
    BOOST_TEST_MESSAGE("allocations per request: " << few << " and " << many);
    BOOST_TEST(many <= few * 1.1);
}
