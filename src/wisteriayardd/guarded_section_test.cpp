#define BOOST_TEST_MODULE guarded_section
#include "guarded_section.h"

#include "clock.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <functional>
#include <sys/wait.h>
#include <unistd.h>

using namespace wisteriayard;

namespace {

/// Runs a function in a child process.
/// @return wait status of the child
int waitStatusOf(const std::function<void()>& step)
{
    pid_t child = fork();
    if (child == 0) {
        step();
        _exit(0);
    }
    int status = 0;
    waitpid(child, &status, 0);
    return status;
}

TimePoint soon() { return bootTimeNow() + std::chrono::milliseconds(50); }

} // namespace

// Guards against a paused process that resumes after the end of its lease and still sends.
BOOST_AUTO_TEST_CASE(kernel_kills_a_stopped_process_inside)
{
    int status = waitStatusOf([] {
        auto section = GuardedSection::enter(soon(), Duration(0));
        raise(SIGSTOP);
    });
    BOOST_REQUIRE(WIFSIGNALED(status));
    BOOST_TEST(WTERMSIG(status) == SIGKILL);
}

// Guards against a timer that kills a process although it left the section in time.
BOOST_AUTO_TEST_CASE(leaving_disarms_the_timer)
{
    int status = waitStatusOf([] {
        TimePoint deadline = bootTimeNow() + std::chrono::seconds(1);
        GuardedSection::enter(deadline, Duration(0)).value().reset();
        while (bootTimeNow() < deadline + std::chrono::milliseconds(50))
            usleep(1000);
    });
    BOOST_TEST((WIFEXITED(status) && WEXITSTATUS(status) == 0));
}

// Guards against entering a section so late that ordinary delays would kill the process.
BOOST_AUTO_TEST_CASE(too_little_time_is_refused)
{
    auto section = GuardedSection::enter(soon(), std::chrono::seconds(1));
    BOOST_REQUIRE(!section);
    BOOST_TEST((section.error().code == Errc::Timeout));
}
