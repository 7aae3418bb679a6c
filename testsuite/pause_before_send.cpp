// Interposes send() and sendmsg() in the daemon under test. If the file named by PAUSE_FILE exists, the process deletes
// it and stops itself (SIGSTOP) immediately before it sends data that starts with PAUSE_PREFIX.
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <dlfcn.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

namespace {

constexpr size_t maxPrefixLength = 128;

void pauseIfPrefixMatches(const void* data, std::size_t size)
{
    const char* prefix = std::getenv("PAUSE_PREFIX");
    const char* file = std::getenv("PAUSE_FILE");
    if (!prefix || !file || !std::string_view(static_cast<const char*>(data), size).starts_with(prefix))
        return;
    if (unlink(file) == 0)
        std::raise(SIGSTOP);
}

} // namespace

extern "C" ssize_t sendmsg(int socket, const msghdr* message, int flags)
{
    using Function = ssize_t (*)(int, const msghdr*, int);
    static auto real = reinterpret_cast<Function>(dlsym(RTLD_NEXT, "sendmsg"));
    // The request line may span several buffers.
    std::string start;
    for (size_t i = 0; i < message->msg_iovlen && start.size() < maxPrefixLength; ++i)
        start.append(static_cast<const char*>(message->msg_iov[i].iov_base),
            std::min(message->msg_iov[i].iov_len, maxPrefixLength));
    pauseIfPrefixMatches(start.data(), start.size());
    return real(socket, message, flags);
}

extern "C" ssize_t send(int socket, const void* data, size_t size, int flags)
{
    using Function = ssize_t (*)(int, const void*, size_t, int);
    static auto real = reinterpret_cast<Function>(dlsym(RTLD_NEXT, "send"));
    pauseIfPrefixMatches(data, size);
    return real(socket, data, size, flags);
}
