#define BOOST_TEST_MODULE net
#include "address.h"
#include "base64.h"
#include "hash.h"
#include "http_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <thread>

using namespace wisteriayard;
namespace http = boost::beast::http;

namespace {

const std::string base64Cases[] = { "", "a", "ab", "abc", std::string("\0\xff\n", 3) };
const std::string invalidBase64[] = { "a", "====a", "@@@@" };
const std::string invalidAddresses[]
    = { "", "127.0.0.1", "127.0.0.1:", ":80", "127.0.0.1:65536", "localhost:80", "127.0.0.1:80x" };

} // namespace

BOOST_DATA_TEST_CASE(base64_round_trip, boost::unit_test::data::make(base64Cases))
{
    BOOST_TEST(base64Decode(base64Encode(sample)).value() == sample);
}

BOOST_DATA_TEST_CASE(base64_rejects, boost::unit_test::data::make(invalidBase64)) { BOOST_TEST(!base64Decode(sample)); }

BOOST_DATA_TEST_CASE(address_rejects, boost::unit_test::data::make(invalidAddresses))
{
    BOOST_TEST(!parseAddress(sample));
}

BOOST_AUTO_TEST_CASE(address_round_trip)
{
    for (const char* text : { "127.0.0.1:80", "[::1]:65535" })
        BOOST_TEST(formatAddress(parseAddress(text).value()) == text);
}

BOOST_AUTO_TEST_CASE(sha256_known_answer)
{
    BOOST_TEST(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against loss of chunks or of the end of a streamed response between server and client.
BOOST_AUTO_TEST_CASE(streamed_response_arrives_complete)
{
    boost::asio::io_context io;
    auto handler = [](HttpRequest, HttpStreamWriter& writer) -> boost::asio::awaitable<HandlerResult> {
        constexpr Duration timeout = std::chrono::seconds(60);
        auto status = co_await writer.begin({}, "text/event-stream", timeout);
        for (int i = 0; i < 5 && status; ++i)
            status = co_await writer.write("part" + std::to_string(i), timeout);
        if (status)
            status = co_await writer.end(timeout);
        co_return StreamedResponse { bool(status) };
    };
    auto server = std::make_shared<HttpServer>(io, HttpServerLimits {}, handler);
    BOOST_REQUIRE(server->listen(parseAddress("127.0.0.1:0").value()));
    std::string received;
    auto client = [&]() -> boost::asio::awaitable<void> {
        constexpr Duration timeout = std::chrono::seconds(60);
        HttpConnection connection(io.get_executor(), server->localAddress(), Bytes(1024));
        auto head = co_await connection.startExchange(makeHttpRequest(http::verb::get, "/"), timeout);
        BOOST_TEST(bool(head));
        while (true) {
            auto part = co_await connection.readSome(timeout);
            BOOST_REQUIRE(part);
            if (part.value().empty())
                break;
            received += part.value();
        }
        io.stop();
    };
    boost::asio::co_spawn(io, client, boost::asio::detached);
    io.run();
    BOOST_TEST(received == "part0part1part2part3part4");
}

namespace {

struct TransferCase {
    const char* name;
    /// Number of parts of the body, one each 100 ms; negative for a body without an end.
    int parts;
    TransferLimits limits;
    bool complete;
};
std::ostream& operator<<(std::ostream& out, const TransferCase& each) { return out << each.name; }

constexpr Duration partInterval = std::chrono::milliseconds(100);
constexpr Duration responseTimeout = std::chrono::seconds(1);
constexpr Duration ample = std::chrono::seconds(60);

const TransferCase transferCases[] = {
    { "short", 1, { ample, ample }, true },
    { "longer_than_the_timeout_for_its_begin", 15, { ample, ample }, true },
    { "longer_than_the_limit", 15, { ample, std::chrono::milliseconds(300) }, false },
    { "without_end", -1, { ample, std::chrono::milliseconds(300) }, false },
    { "beyond_the_size_limit", 30, { ample, ample }, false },
};

} // namespace

// Guards against a large response that a slow link can't carry within the call's timeout: it was dropped and requested
// again, larger each time. Guards also against a transfer without an end.
BOOST_DATA_TEST_CASE(large_response_may_outlast_the_timeout, boost::unit_test::data::make(transferCases), each)
{
    boost::asio::io_context io;
    auto handler = [&](HttpRequest, HttpStreamWriter& writer) -> boost::asio::awaitable<HandlerResult> {
        auto status = co_await writer.begin({}, "text/plain", ample);
        boost::asio::steady_timer timer(io);
        for (int i = 0; status && i != each.parts; ++i) {
            timer.expires_after(partInterval);
            co_await timer.async_wait(boost::asio::use_awaitable);
            status = co_await writer.write("part", ample);
        }
        if (status)
            status = co_await writer.end(ample);
        co_return StreamedResponse { bool(status) };
    };
    auto server = std::make_shared<HttpServer>(io, HttpServerLimits {}, handler);
    BOOST_REQUIRE(server->listen(parseAddress("127.0.0.1:0").value()));
    constexpr Bytes maxBody { 100 };
    HttpClient client(io.get_executor(), server->localAddress(), maxBody, 1);
    std::optional<Result<HttpResponse>> response;
    auto run = [&]() -> boost::asio::awaitable<void> {
        response = co_await client.exchange(makeHttpRequest(http::verb::get, "/"), responseTimeout, each.limits);
        io.stop();
    };
    boost::asio::co_spawn(io, run, boost::asio::detached);
    io.run();
    BOOST_REQUIRE(response);
    BOOST_TEST(response->has_value() == each.complete);
    if (each.complete)
        BOOST_TEST(response->value().body().size() == 4u * static_cast<std::size_t>(each.parts));
}

namespace {

struct RawResponseCase {
    const char* text;
    bool accepted;
};
std::ostream& operator<<(std::ostream& out, const RawResponseCase& each) { return out << each.text; }

const RawResponseCase rawResponseCases[] = {
    { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true },
    { "HTTP/1.1 299 Odd\r\nContent-Length: 0\r\n\r\n", true },
    { "HTTP/1.1 099 OK\r\nContent-Length: 0\r\n\r\n", false },
    { "HTTP/1.1 600 Odd\r\nContent-Length: 0\r\n\r\n", false },
    { "HTTP/1.1 103 Early Hints\r\n\r\n", false },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", false },
};

} // namespace

// Guards against unsound responses of a service that an agent hands on as its answer.
BOOST_DATA_TEST_CASE(client_rejects_unsound_responses, boost::unit_test::data::make(rawResponseCases), each)
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor acceptor(io, parseAddress("127.0.0.1:0").value());
    boost::asio::ip::tcp::socket socket(io);
    auto respond = [&]() -> boost::asio::awaitable<void> {
        socket = co_await acceptor.async_accept(boost::asio::use_awaitable);
        co_await boost::asio::async_write(
            socket, boost::asio::buffer(std::string_view(each.text)), boost::asio::use_awaitable);
    };
    boost::asio::co_spawn(io, respond, boost::asio::detached);
    HttpConnection connection(io.get_executor(), acceptor.local_endpoint(), Bytes(100));
    std::optional<Result<HttpResponse>> response;
    auto run = [&]() -> boost::asio::awaitable<void> {
        response = co_await connection.exchange(makeHttpRequest(http::verb::get, "/"), responseTimeout);
        io.stop();
    };
    boost::asio::co_spawn(io, run, boost::asio::detached);
    io.run();
    BOOST_REQUIRE(response);
    BOOST_TEST(response->has_value() == each.accepted);
    BOOST_TEST(connection.isOpen() == each.accepted);
}

namespace {

/// Serves each request with its fields' number, the size of its body, and the memory that the body occupies or
/// reserves.
std::shared_ptr<HttpServer> makeBudgetServer(boost::asio::io_context& io, std::vector<HttpShortage>& shortages)
{
    HttpServerLimits limits;
    limits.maxBody = Bytes(200'000);
    limits.headMemory = Bytes(40'000);
    limits.maxHeaderBytes = 64 * 1024;
    limits.bodyMemory = Bytes(100'000);
    limits.keptFields = { "Kept" };
    auto created = std::make_shared<std::weak_ptr<HttpServer>>();
    auto handler = [created](HttpRequest request, HttpStreamWriter&) -> boost::asio::awaitable<HandlerResult> {
        auto fields = std::distance(request.begin(), request.end());
        auto reserved = static_cast<std::size_t>(created->lock()->heldForBodies().value());
        co_return makeHttpResponse(boost::beast::http::status::ok,
            std::to_string(fields) + " fields, " + std::to_string(request.body().size()) + " bytes, "
                + std::to_string(std::max(reserved, request.body().capacity())) + " held");
    };
    auto server = std::make_shared<HttpServer>(io, limits, handler);
    *created = server;
    server->onShortage([&](HttpShortage shortage) { shortages.push_back(shortage); });
    BOOST_REQUIRE(server->listen(parseAddress("127.0.0.1:0").value()));
    return server;
}

std::string repeated(std::string_view text, int count)
{
    std::string result;
    for (int i = 0; i < count; ++i)
        result += text;
    return result;
}

struct BudgetCase {
    const char* name;
    std::string head;
    std::size_t body;
    const char* expected;
    std::vector<HttpShortage> shortages;
    bool chunked = false;
};
std::ostream& operator<<(std::ostream& out, const BudgetCase& each) { return out << each.name; }

const BudgetCase budgetCases[] = {
    { "fields_that_are_not_kept", "a:b\r\n" + repeated("c:d\r\n", 500), 3, "0 fields, 3 bytes", {} },
    { "two_of_each_kept_name", repeated("kept:d\r\n", 50), 3, "2 fields, 3 bytes", {} },
    { "body_that_fits", "", 90'000, "0 fields, 90000 bytes", {} },
    // Growth from 65,536 to 65,537 bytes: std::string::reserve() would allocate 131,072.
    { "capacity_is_the_stated_length", "", 65'537, "0 fields, 65537 bytes, 65537 held", {} },
    { "capacity_without_stated_length", "", 40'000, "0 fields, 40000 bytes, 40000 held", {}, true },
    { "small_body_without_stated_length", "", 100, "0 fields, 100 bytes, 100 held", {}, true },
    { "body_above_the_memory", "", 150'000, "no_memory", { HttpShortage::BodyRefused } },
    { "head_above_the_memory", "a:" + std::string(50'000, 'x') + "\r\n", 3, "", { HttpShortage::HeadClosed } },
};

} // namespace

// Guards against heads and bodies that are not limited in sum, and against a refusal that lacks its time or outcome.
BOOST_DATA_TEST_CASE(memory_of_requests_is_limited, boost::unit_test::data::make(budgetCases), each)
{
    boost::asio::io_context io;
    std::vector<HttpShortage> shortages;
    auto server = makeBudgetServer(io, shortages);
    std::string received;
    boost::system::error_code writeError;
    boost::system::error_code readError;
    std::thread client([&, address = server->localAddress()] {
        boost::asio::io_context clientIo;
        boost::asio::ip::tcp::socket socket(clientIo);
        socket.connect(address);
        std::string framing
            = each.chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + std::to_string(each.body);
        std::string request = "POST / HTTP/1.1\r\nConnection: close\r\n" + framing + "\r\n" + each.head + "\r\n";
        // The chunks have 100 bytes, which divides the sizes of these cases.
        if (each.chunked)
            request
                += repeated("64\r\n" + std::string(100, 'y') + "\r\n", static_cast<int>(each.body / 100)) + "0\r\n\r\n";
        else
            request += std::string(each.body, 'y');
        boost::asio::write(socket, boost::asio::buffer(request), writeError);
        boost::asio::read(socket, boost::asio::dynamic_buffer(received), readError);
        boost::asio::post(io, [&] { io.stop(); });
    });
    io.run();
    client.join();
    bool isExpected = *each.expected ? received.find(each.expected) != std::string::npos : received.empty();
    BOOST_TEST(isExpected, received);
    // Guards against a reset, which may destroy the response. A connection that is closed for memory gets none.
    if (*each.expected) {
        BOOST_TEST(!writeError, writeError.message());
        BOOST_TEST((readError == boost::asio::error::eof), readError.message());
    }
    bool refused = received.rfind("HTTP/1.1 503", 0) == 0;
    BOOST_TEST(refused == (each.expected == std::string("no_memory")));
    BOOST_TEST((received.find("Retry-After: 1\r\n") != std::string::npos) == refused);
    BOOST_TEST((shortages == each.shortages));
}

namespace {

struct ChunkedBodyCase {
    const char* name;
    std::string text;
    /// Absent if the request is malformed.
    std::optional<std::string> body;
};
std::ostream& operator<<(std::ostream& out, const ChunkedBodyCase& each) { return out << each.name; }

const ChunkedBodyCase chunkedBodyCases[] = {
    { "empty", "0\r\n\r\n", "" },
    { "empty_with_two_digits", "00\r\n\r\n", "" },
    { "empty_with_extension", "0;a=b\r\n\r\n", "" },
    { "empty_with_trailer", "0\r\nX-A: 1\r\n\r\n", "" },
    { "text_that_looks_like_the_end", "5\r\n0\r\n\r\n\r\n0\r\n\r\n", "0\r\n\r\n" },
    { "zero_alone", "1\r\n0\r\n0\r\n\r\n", "0" },
    { "no_size", "zz\r\n", {} },
    { "no_size_after_zero", "0zz\r\n\r\n", {} },
};

const std::size_t firstPartSizes[] = { 1, 2, 3, 4 };

/// Runs all handlers that can run without further input.
void runReady(boost::asio::io_context& io)
{
    while (io.poll() > 0) { }
}

} // namespace

// Guards against an empty body in chunks that ends the process, as its bytes arrive one by one.
BOOST_DATA_TEST_CASE(chunked_bodies_may_arrive_in_any_parts,
    boost::unit_test::data::make(chunkedBodyCases) * boost::unit_test::data::make(firstPartSizes), each, firstPart)
{
    boost::asio::io_context io;
    auto echo = [](HttpRequest request, HttpStreamWriter&) -> boost::asio::awaitable<HandlerResult> {
        co_return makeHttpResponse(http::status::ok, "<" + request.body() + ">");
    };
    auto server = std::make_shared<HttpServer>(io, HttpServerLimits {}, echo);
    BOOST_REQUIRE(server->listen(parseAddress("127.0.0.1:0").value()));
    boost::asio::ip::tcp::socket client(io);
    client.connect(server->localAddress());
    std::string_view rest = each.text;
    std::string part = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t size = firstPart; !part.empty(); size = 1) {
        boost::asio::write(client, boost::asio::buffer(part));
        runReady(io);
        part = rest.substr(0, size);
        rest.remove_prefix(part.size());
    }
    std::string received(1000, '\0');
    client.non_blocking(true);
    boost::system::error_code ignored;
    received.resize(client.read_some(boost::asio::buffer(received), ignored));
    std::string expected = each.body ? "<" + *each.body + ">" : "malformed request";
    BOOST_TEST(received.find(expected) != std::string::npos, received);
}

// Guards against copies of bodies that are not counted: with the request, and after its end.
BOOST_AUTO_TEST_CASE(copies_of_bodies_are_counted)
{
    boost::asio::io_context io;
    HttpServerLimits limits;
    limits.maxBody = Bytes(100);
    limits.bodyMemory = Bytes(1000);
    limits.copiesBodies = true;
    std::vector<std::shared_ptr<void>> copies;
    std::vector<std::int64_t> held;
    std::weak_ptr<HttpServer> created;
    auto handler = [&](HttpRequest, HttpStreamWriter& writer) -> boost::asio::awaitable<HandlerResult> {
        auto server = created.lock();
        held.push_back(server->heldForBodies().value());
        copies.push_back(writer.countBodyCopy());
        held.push_back(server->heldForBodies().value());
        co_return makeHttpResponse(boost::beast::http::status::ok, "");
    };
    auto server = std::make_shared<HttpServer>(io, limits, handler);
    created = server;
    BOOST_REQUIRE(server->listen(parseAddress("127.0.0.1:0").value()));
    std::vector<int> statuses;
    std::thread client([&, address = server->localAddress()] {
        boost::asio::io_context clientIo;
        for (int i = 0; i < 12; ++i) {
            boost::asio::ip::tcp::socket socket(clientIo);
            socket.connect(address);
            std::string request
                = "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 100\r\n\r\n" + std::string(100, 'y');
            boost::asio::write(socket, boost::asio::buffer(request));
            std::string received;
            boost::system::error_code ignored;
            boost::asio::read(socket, boost::asio::dynamic_buffer(received), ignored);
            statuses.push_back(std::stoi(received.substr(sizeof("HTTP/1.1"), 3)));
        }
        boost::asio::post(io, [&] { io.stop(); });
    });
    io.run();
    client.join();
    // The copies of nine requests remain, so that the tenth body and its copy don't fit.
    BOOST_TEST(copies.size() == 9u);
    BOOST_TEST(std::count(statuses.begin(), statuses.end(), 200) == 9);
    BOOST_TEST(std::count(statuses.begin(), statuses.end(), 503) == 3);
    BOOST_TEST(held.front() == 200);
    BOOST_TEST(held.back() == 1000);
    BOOST_TEST(server->heldForBodies().value() == 900);
    copies.clear();
    BOOST_TEST(server->heldForBodies().value() == 0);
}

// Guards against a connection that is closed in favour of an older one with an unfinished head.
BOOST_AUTO_TEST_CASE(oldest_unfinished_head_is_closed)
{
    boost::asio::io_context io;
    std::vector<HttpShortage> shortages;
    auto server = makeBudgetServer(io, shortages);
    std::string first;
    std::string second;
    std::thread client([&, address = server->localAddress()] {
        boost::asio::io_context clientIo;
        boost::asio::ip::tcp::socket oldest(clientIo);
        boost::asio::ip::tcp::socket newer(clientIo);
        boost::system::error_code ignored;
        std::string half = "GET / HTTP/1.1\r\nConnection: close\r\na:" + std::string(25'000, 'x');
        oldest.connect(address);
        boost::asio::write(oldest, boost::asio::buffer(half), ignored);
        while (
            boost::asio::post(io, boost::asio::use_future([&] { return server->heldForHeads(); })).get().value() < 5000)
            std::this_thread::yield();
        newer.connect(address);
        boost::asio::write(newer, boost::asio::buffer(half + "\r\n\r\n"), ignored);
        boost::asio::read(oldest, boost::asio::dynamic_buffer(first), ignored);
        boost::asio::read(newer, boost::asio::dynamic_buffer(second), ignored);
        boost::asio::post(io, [&] { io.stop(); });
    });
    io.run();
    client.join();
    BOOST_TEST(first.empty());
    BOOST_TEST(second.find("0 fields") != std::string::npos, second);
}

// Guards against connections whose bodies never come and whose heads occupy the memory until the read timeout.
BOOST_AUTO_TEST_CASE(unfinished_body_is_closed_for_a_head)
{
    boost::asio::io_context io;
    std::vector<HttpShortage> shortages;
    auto server = makeBudgetServer(io, shortages);
    std::string first;
    std::string second;
    std::thread client([&, address = server->localAddress()] {
        boost::asio::io_context clientIo;
        boost::asio::ip::tcp::socket stalled(clientIo);
        boost::asio::ip::tcp::socket newer(clientIo);
        boost::system::error_code ignored;
        stalled.connect(address);
        std::string request
            = "POST / HTTP/1.1\r\nContent-Length: 9\r\nKept: " + std::string(30'000, 'x') + "\r\n\r\nabc";
        boost::asio::write(stalled, boost::asio::buffer(request), ignored);
        while (
            boost::asio::post(io, boost::asio::use_future([&] { return server->heldForBodies(); })).get().value() < 3)
            std::this_thread::yield();
        newer.connect(address);
        request = "GET / HTTP/1.1\r\nConnection: close\r\na: " + std::string(15'000, 'x') + "\r\n\r\n";
        boost::asio::write(newer, boost::asio::buffer(request), ignored);
        boost::asio::read(stalled, boost::asio::dynamic_buffer(first), ignored);
        boost::asio::read(newer, boost::asio::dynamic_buffer(second), ignored);
        boost::asio::post(io, [&] { io.stop(); });
    });
    io.run();
    client.join();
    BOOST_TEST(first.empty(), first);
    BOOST_TEST(second.find("0 fields") != std::string::npos, second);
    BOOST_TEST((shortages == std::vector { HttpShortage::HeadClosed }));
}

// Guards against a reset while the client of a refused request is still sending, which may destroy the response.
BOOST_AUTO_TEST_CASE(refused_client_can_finish_sending)
{
    boost::asio::io_context io;
    std::vector<HttpShortage> shortages;
    auto server = makeBudgetServer(io, shortages);
    std::string received;
    boost::system::error_code error;
    std::thread client([&, address = server->localAddress()] {
        boost::asio::io_context clientIo;
        boost::asio::ip::tcp::socket socket(clientIo);
        socket.connect(address);
        boost::system::error_code ignored;
        std::string request = "POST / HTTP/1.1\r\nContent-Length: 150000\r\n\r\n" + std::string(100'000, 'y');
        boost::asio::write(socket, boost::asio::buffer(request), ignored);
        boost::asio::read(socket, boost::asio::dynamic_buffer(received), ignored);
        const std::string part(1000, 'y');
        for (int i = 0; i < 50 && !error; ++i)
            boost::asio::write(socket, boost::asio::buffer(part), error);
        boost::asio::post(io, [&] { io.stop(); });
    });
    io.run();
    client.join();
    BOOST_TEST(received.rfind("HTTP/1.1 503", 0) == 0, received);
    BOOST_TEST(!error, error.message());
}

namespace {

struct DrainCase {
    const char* name;
    const char* sent;
};
std::ostream& operator<<(std::ostream& out, const DrainCase& each) { return out << each.name; }

const DrainCase drainCases[] = {
    { "half_head", "GET / HTTP/1.1\r\na:b" },
    { "half_body", "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc" },
};

} // namespace

// Guards against a planned stop that waits up to the read timeout (30 s) for requests that are not complete.
BOOST_DATA_TEST_CASE(drain_closes_incomplete_requests, boost::unit_test::data::make(drainCases), each)
{
    boost::asio::io_context io;
    std::vector<HttpShortage> shortages;
    auto server = makeBudgetServer(io, shortages);
    std::string received;
    Duration waited {};
    std::thread client([&, address = server->localAddress()] {
        boost::asio::io_context clientIo;
        boost::asio::ip::tcp::socket socket(clientIo);
        boost::system::error_code ignored;
        socket.connect(address);
        boost::asio::write(socket, boost::asio::buffer(std::string_view(each.sent)), ignored);
        auto held = [&] { return server->heldForHeads().value() + server->heldForBodies().value(); };
        while (boost::asio::post(io, boost::asio::use_future(held)).get() == 0)
            std::this_thread::yield();
        auto start = std::chrono::steady_clock::now();
        boost::asio::post(io, [&] { server->drain(); });
        boost::asio::read(socket, boost::asio::dynamic_buffer(received), ignored);
        waited = std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - start);
        boost::asio::post(io, [&] { io.stop(); });
    });
    io.run();
    client.join();
    BOOST_TEST(received.empty(), received);
    BOOST_TEST((waited < std::chrono::seconds(15)));
}
