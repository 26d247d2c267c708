// Measures the latency that the path through entry and agent adds to a call of the engine stand-in. Direct calls and calls through the
// path alternate within one run.
//
// Usage: bench_path [REQUESTS]; it starts the programs of its own build directory. It reports figures and has no pass or fail.

#include "../../tests/process/testfleet.h"

#include <algorithm>
#include <iostream>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
constexpr int WARM_UP_REQUESTS = 50;
constexpr int ENDPOINTS = 8;
constexpr int STREAM_TOKENS = 200;

using Clock = std::chrono::steady_clock;

/// \brief HTTP client with one persistent connection.
class KeepAliveClient
{
public:
    explicit KeepAliveClient(const std::string &address)
        : address_(address)
        , socket_(io_)
    {
        socket_.connect(parseAddress(address));
        socket_.set_option(boost::asio::ip::tcp::no_delay(true));
    }

    /// \brief Sends a request. \return time to the first byte of the body and to its end, in microseconds.
    std::pair<double, double> measure(HttpRequest request)
    {
        request.set(http::field::host, address_);
        request.prepare_payload();
        const auto start = Clock::now();
        http::write(socket_, request);
        http::response_parser<http::string_body> parser;
        parser.body_limit(std::numeric_limits<std::uint64_t>::max());
        http::read_header(socket_, buffer_, parser);
        if (!parser.is_done()) {
            http::read_some(socket_, buffer_, parser);
        }
        const double firstByte = microsecondsSince(start);
        http::read(socket_, buffer_, parser);
        if (parser.get().result_int() != 200) {
            throw Error("status " + std::to_string(parser.get().result_int()) + ": " + parser.get().body());
        }
        return {firstByte, microsecondsSince(start)};
    }

private:
    static double microsecondsSince(Clock::time_point start)
    {
        return std::chrono::duration<double, std::micro>(Clock::now() - start).count();
    }

    std::string address_;
    boost::asio::io_context io_;
    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
};

/// \brief Samples of one kind of call, in microseconds.
struct Series {
    std::vector<double> firstByte;
    std::vector<double> wholeAnswer;

    void add(std::pair<double, double> sample)
    {
        firstByte.push_back(sample.first);
        wholeAnswer.push_back(sample.second);
    }
};

double quantile(std::vector<double> values, double fraction)
{
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(fraction * static_cast<double>(values.size())))];
}

void report(const std::string &name, const std::vector<double> &direct, const std::vector<double> &path)
{
    for (const auto &[label, fraction] : {std::pair("median", 0.5), std::pair("p99", 0.99)}) {
        const double directTime = quantile(direct, fraction);
        const double pathTime = quantile(path, fraction);
        std::cout << name << ' ' << label << ": direct " << directTime << " us, path " << pathTime << " us, added " << pathTime - directTime << " us, ratio "
                  << pathTime / directTime << '\n';
    }
}

HttpRequest completion(int number, int tokens, bool stream)
{
    const nlohmann::json body = {{"model", "model-a"}, {"prompt", "Load " + std::to_string(number)}, {"max_tokens", tokens}, {"stream", stream}};
    return authorized(jsonPost("/v1/completions", body), "key-parkland");
}

void compare(const std::string &name, TestFleet &fleet, int requests, int tokens, bool stream)
{
    KeepAliveClient direct(fleet.standinAddress("engine-0"));
    KeepAliveClient path(fleet.entryAddress("entry-1"));
    Series directSeries;
    Series pathSeries;
    for (int i = 0; i < WARM_UP_REQUESTS + requests; ++i) {
        const auto directSample = direct.measure(completion(i, tokens, stream));
        const auto pathSample = path.measure(completion(i, tokens, stream));
        if (i >= WARM_UP_REQUESTS) {
            directSeries.add(directSample);
            pathSeries.add(pathSample);
        }
    }
    report(name + " first byte", directSeries.firstByte, pathSeries.firstByte);
    report(name + " whole answer", directSeries.wholeAnswer, pathSeries.wholeAnswer);
}

/// \brief Resident memory in KiB.
long residentMemory(pid_t id)
{
    std::ifstream status("/proc/" + std::to_string(id) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::stol(line.substr(6));
        }
    }
    return -1;
}
} // namespace

int main(int argc, char **argv)
{
    const int requests = argc > 1 ? std::stoi(argv[1]) : 1000;
    TestFleet fleet;
    for (int i = 0; i < ENDPOINTS; ++i) {
        fleet.addEngine("engine-" + std::to_string(i));
    }
    fleet.addCustomer("parkland", "100%", "30s");
    fleet.publish();
    for (int i = 0; i < ENDPOINTS; ++i) {
        fleet.startAgent("engine-" + std::to_string(i));
    }
    fleet.startEntry("entry-1");
    std::cout << "entry before load: " << residentMemory(fleet.entry("entry-1").id()) << " KiB, agent: " << residentMemory(fleet.agent("engine-0").id())
              << " KiB\n";
    compare("plain, 1 token", fleet, requests, 1, false);
    compare("stream, 200 tokens", fleet, requests / 10, STREAM_TOKENS, true);
    std::cout << "entry after load, " << ENDPOINTS << " endpoints: " << residentMemory(fleet.entry("entry-1").id()) << " KiB\n";
    for (int i = 0; i < ENDPOINTS; ++i) {
        std::cout << "agent " << i << " after load: " << residentMemory(fleet.agent("engine-" + std::to_string(i)).id()) << " KiB\n";
    }
    return 0;
}
