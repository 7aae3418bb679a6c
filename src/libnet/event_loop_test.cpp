#define BOOST_TEST_MODULE event_loop
#include "event_loop.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <functional>
#include <memory>
#include <vector>

using namespace wisteriayard;
namespace data = boost::unit_test::data;
using boost::asio::awaitable;
using boost::asio::use_awaitable;

namespace {

/// Owner of a loop and of what its coroutines use, in the order in which destruction would harm: the loop outlives it.
class Owner {
public:
    /// Notes at its destruction whether the owner's member still exists.
    class Guard {
    public:
        Guard(Owner& owner, std::vector<bool>& seen)
            : m_alive(owner.m_alive)
            , m_seen(seen)
        {
        }
        Guard(const Guard&) = delete;
        Guard& operator=(const Guard&) = delete;
        ~Guard() { m_seen.push_back(!m_alive.expired()); }

    private:
        std::weak_ptr<int> m_alive;
        std::vector<bool>& m_seen;
    };

    Owner() = default;
    Owner(const Owner&) = delete;
    Owner& operator=(const Owner&) = delete;
    ~Owner() { m_loop.discardPending(); }

    EventLoop& loop() { return m_loop; }
    boost::asio::steady_timer& timer() { return m_timer; }
    boost::asio::ip::tcp::acceptor& acceptor() { return m_acceptor; }
    boost::asio::signal_set& signals() { return m_signals; }

private:
    EventLoop m_loop { 1 };
    boost::asio::steady_timer m_timer { m_loop, std::chrono::hours(1) };
    boost::asio::ip::tcp::acceptor m_acceptor { m_loop, { boost::asio::ip::address_v4::loopback(), 0 } };
    boost::asio::signal_set m_signals { m_loop, SIGUSR1 };
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

awaitable<void> nested(std::function<awaitable<void>()> wait, Owner& owner, std::vector<bool>& seen)
{
    Owner::Guard guard(owner, seen);
    co_await wait();
}

struct WaitCase {
    const char* name;
    std::function<awaitable<void>(Owner&)> wait;
};
std::ostream& operator<<(std::ostream& out, const WaitCase& each) { return out << each.name; }

const WaitCase waitCases[] = {
    { "timer", [](Owner& owner) -> awaitable<void> { co_await owner.timer().async_wait(use_awaitable); } },
    { "connection",
        [](Owner& owner) -> awaitable<void> { (void)co_await owner.acceptor().async_accept(use_awaitable); } },
    { "signal", [](Owner& owner) -> awaitable<void> { (void)co_await owner.signals().async_wait(use_awaitable); } },
    { "turn of the loop",
        [](Owner& owner) -> awaitable<void> {
            owner.loop().stop();
            co_await boost::asio::post(owner.loop(), use_awaitable);
        } },
};

} // namespace

// Guards against coroutines that are destroyed after the objects they refer to, which ended processes by a signal.
BOOST_DATA_TEST_CASE(coroutines_end_before_what_they_use, data::make(waitCases), each)
{
    std::size_t begun = 0;
    std::vector<bool> seen;
    {
        Owner owner;
        auto run = [&]() -> awaitable<void> {
            Owner::Guard guard(owner, seen);
            ++begun;
            co_await nested([&] { return each.wait(owner); }, owner, seen);
        };
        boost::asio::co_spawn(owner.loop(), run, boost::asio::detached);
        boost::asio::co_spawn(owner.loop(), run, boost::asio::detached);
        owner.loop().run_for(std::chrono::milliseconds(20));
    }
    BOOST_TEST(begun > 0u);
    BOOST_TEST(seen.size() == 2 * begun);
    BOOST_TEST(seen == std::vector<bool>(seen.size(), true));
}
