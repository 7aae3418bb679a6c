#define BOOST_TEST_MODULE gateway_metrics
#include "gateway_metrics.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <set>
#include <sstream>

using namespace wisteriayard;

namespace {

const std::string prefix = "wisteriayard_gateway_";

std::set<std::string> namesOfCode()
{
    GatewayMetrics metrics;
    metrics.requestEnded("r", AccountId("a"), "delivered", Duration(1));
    metrics.firstEventReceived("r", Duration(1));
    metrics.requestRefused(PlacementRefusal::Overloaded);
    metrics.retryAfterOverload("placed");
    metrics.attemptEnded("delivered");
    metrics.attemptBroken(false);
    metrics.invalidResponseReceived();
    metrics.retryRequested(true);
    metrics.hedgeDecided("sent");
    metrics.hedgedRequest("won");
    metrics.endpointPaused();
    metrics.endpointCrashed();
    metrics.quarantineRefused();
    metrics.setQuarantinedSegments(1);
    metrics.limitedRequestSent(false);
    metrics.coldRequestSent(false);
    metrics.setColdEndpointCount(1);
    metrics.setFullEngineCount(1);
    metrics.peerDatagramRefused();
    metrics.sendWithheld("evacuated");
    metrics.setEvacuatedZones(1);
    metrics.setEndpointCount(1);
    metrics.setConfigVersion(1);
    metrics.configApplied(Duration(1));
    metrics.configRejected();
    metrics.supersededChangesReceived("config", 1);
    metrics.setActiveRequests(1);
    metrics.setRequestBodyMemory(Bytes(1));
    metrics.setRequestHeadMemory(Bytes(1));
    metrics.setStreamBufferMemory(Bytes(1));
    metrics.setConnections(1, 1);
    metrics.clientClosed(ClientCloseCause::Descriptors);
    metrics.slowClientEnded(SlowClientCause::StalledUpload);
    metrics.setViewAge("config", Duration(1));
    metrics.viewRead("config", "gap");
    metrics.setStoreEra(StoreEra(1));
    metrics.storeRestored();
    metrics.setDroppedLogLines(0);
    std::set<std::string> names;
    std::istringstream text(metrics.text());
    for (std::string hash, kind, name, line; std::getline(text, line);) {
        std::istringstream words(line);
        if (words >> hash >> kind >> name && hash == "#" && kind == "TYPE")
            names.insert(name);
    }
    return names;
}

std::set<std::string> namesOfPage()
{
    std::set<std::string> names;
    std::ifstream page(METRICS_PAGE);
    for (std::string line, bar, name; std::getline(page, line);) {
        std::istringstream words(line);
        if (words >> bar >> name && bar == "|" && name.rfind(prefix, 0) == 0)
            names.insert(name);
    }
    return names;
}

} // namespace

// Guards against metrics that are missing in docs/metrics.md, where on-call engineers look them up.
BOOST_AUTO_TEST_CASE(page_lists_every_metric)
{
    std::set<std::string> code = namesOfCode();
    std::set<std::string> page = namesOfPage();
    BOOST_TEST(code.size() == 39u);
    BOOST_TEST(code == page, boost::test_tools::per_element());
}
