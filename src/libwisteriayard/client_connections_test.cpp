#define BOOST_TEST_MODULE client_connections
#include "wisteriayard/client_connections.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

using namespace wisteriayard;
namespace data = boost::unit_test::data;

namespace {

/// Connections 0 to n-1 that record which of them are closed, in their order.
struct Fixture {
    void open(ClientStage stage)
    {
        std::size_t number = ids.size();
        ids.push_back(connections.opened([this, number](ClientCloseCause cause) {
            closed.push_back(number);
            causes.push_back(cause);
        }));
        if (stage != ClientStage::Silent)
            connections.enter(ids.back(), stage);
    }

    ClientConnections connections;
    std::vector<ClientConnections::Id> ids;
    std::vector<std::size_t> closed;
    std::vector<ClientCloseCause> causes;
};

constexpr ClientStage silent = ClientStage::Silent;
constexpr ClientStage unfinished = ClientStage::UnfinishedHead;
constexpr ClientStage served = ClientStage::Served;

struct OrderCase {
    const char* name;
    std::vector<ClientStage> stages;
    std::vector<std::size_t> closedForDescriptors;
    std::vector<std::size_t> closedForMemory;
};
std::ostream& operator<<(std::ostream& out, const OrderCase& each) { return out << each.name; }

const OrderCase orderCases[] = {
    { "none", {}, {}, {} },
    { "oldest silent one first", { silent, silent }, { 0, 1 }, {} },
    { "silent ones before unfinished heads", { unfinished, silent, unfinished }, { 1, 0, 2 }, { 0, 2 } },
    { "none with a request", { served, served }, {}, {} },
    { "only those without a request", { served, unfinished, served, silent }, { 3, 1 }, { 1 } },
};

} // namespace

// Guards against closing a connection whose request was accepted, and against any order but that of arrival.
BOOST_DATA_TEST_CASE(connections_are_closed_in_order, data::make(orderCases), each)
{
    Fixture descriptors;
    Fixture memory;
    for (ClientStage stage : each.stages) {
        descriptors.open(stage);
        memory.open(stage);
    }
    while (descriptors.connections.closeForDescriptor()) { }
    while (memory.connections.closeOldestHead()) { }
    BOOST_TEST(descriptors.closed == each.closedForDescriptors, boost::test_tools::per_element());
    BOOST_TEST(memory.closed == each.closedForMemory, boost::test_tools::per_element());
    BOOST_TEST(descriptors.connections.size() == each.stages.size() - each.closedForDescriptors.size());
    for (ClientCloseCause cause : memory.causes)
        BOOST_TEST((cause == ClientCloseCause::HeadMemory));
}

// Guards against a caller with a new head that is closed before others because its connection is old.
BOOST_AUTO_TEST_CASE(order_is_that_of_entering_the_stage)
{
    Fixture fixture;
    for (ClientStage stage : { unfinished, unfinished, unfinished })
        fixture.open(stage);
    fixture.connections.enter(fixture.ids[0], served);
    fixture.connections.enter(fixture.ids[0], unfinished);
    while (fixture.connections.closeOldestHead()) { }
    BOOST_TEST(fixture.closed == (std::vector<std::size_t> { 1, 2, 0 }), boost::test_tools::per_element());
}

// Guards against the use of connections that have ended.
BOOST_AUTO_TEST_CASE(ended_connections_are_forgotten)
{
    Fixture fixture;
    for (ClientStage stage : { silent, unfinished })
        fixture.open(stage);
    for (int repetition = 0; repetition < 2; ++repetition) {
        for (ClientConnections::Id id : fixture.ids)
            fixture.connections.closed(id);
    }
    fixture.connections.enter(fixture.ids[0], unfinished);
    BOOST_TEST(!fixture.connections.closeForDescriptor());
    BOOST_TEST(fixture.connections.size() == 0u);
}
