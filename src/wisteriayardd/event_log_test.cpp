#define BOOST_TEST_MODULE event_log
#include "event_log.h"

#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <fstream>
#include <set>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace wisteriayard;

namespace {

constexpr int largestEvent = 9999;

using Catalogue = std::set<std::pair<int, std::string>>;

Catalogue readCodeCatalogue()
{
    Catalogue catalogue;
    for (int number = 0; number <= largestEvent; ++number) {
        std::string_view name = eventName(static_cast<Event>(number));
        if (name != "unknown")
            catalogue.insert({ number, std::string(name) });
    }
    return catalogue;
}

/// Reads the rows `| number | name | …` of docs/events.md.
Catalogue readPageCatalogue()
{
    Catalogue catalogue;
    std::ifstream page(EVENTS_PAGE);
    for (std::string line; std::getline(page, line);) {
        std::istringstream words(line);
        std::string bar;
        int number = 0;
        std::string second;
        std::string name;
        if (words >> bar >> number >> second >> name && bar == "|" && second == "|")
            BOOST_TEST(catalogue.insert({ number, name }).second, "listed twice: " + line);
    }
    return catalogue;
}

} // namespace

// Guards against a docs/events.md that differs from the code: auditors look up event numbers and names there.
BOOST_AUTO_TEST_CASE(page_lists_every_event)
{
    Catalogue code = readCodeCatalogue();
    Catalogue page = readPageCatalogue();
    BOOST_TEST(!code.empty());
    for (const auto& [number, name] : code)
        BOOST_TEST(page.count({ number, name }) == 1u, "not in docs/events.md: " + std::to_string(number) + ' ' + name);
    for (const auto& [number, name] : page)
        BOOST_TEST(code.count({ number, name }) == 1u, "not in the code: " + std::to_string(number) + ' ' + name);
}

// Guards against a broken hash chain when several threads write at once or a restarted process appends to the log.
BOOST_AUTO_TEST_CASE(concurrent_writers_keep_the_chain)
{
    constexpr int writers = 4;
    constexpr int eventsEach = 50;
    const std::string file = "event_log_test_" + std::to_string(::getpid()) + ".log";
    std::vector<AuditAnchor> anchors;
    for (int start = 0; start < 2; ++start) {
        auto log = EventLog::open(file, "entry-1");
        BOOST_REQUIRE(log);
        std::vector<std::thread> threads;
        for (int i = 0; i < writers; ++i)
            threads.emplace_back([&] {
                for (int k = 0; k < eventsEach; ++k)
                    log.value()->write(Event::RequestFinished, { { "request", "r\"\xff" } });
            });
        for (std::thread& thread : threads)
            thread.join();
        anchors.push_back(log.value()->position());
        BOOST_TEST(anchors.back().sequence == 1u + writers * eventsEach);
    }
    AuditVerifier verifier;
    std::ifstream lines(file);
    std::size_t number = 0;
    for (std::string line; std::getline(lines, line);)
        verifier.addLine(++number, line);
    auto findings = verifier.finish(anchors);
    BOOST_TEST(findings.empty(), (findings.empty() ? "" : findings[0].message));
    BOOST_TEST(verifier.summaries().size() == 2u);
    std::remove(file.c_str());
}
