// Measures what the path through entry and agent adds to a call of the engine stand-in, in alternating requests of one run.
//
// Usage: bench_path [REQUESTS]; it starts the programs of its own build directory. The figures are a report, not a verdict.

#include "../../tests/process/testfleet.h"

#include <algorithm>
#include <iostream>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
constexpr int WARM_UP = 50;
constexpr int ENDPOINTS = 8;
constexpr int STREAM_TOKENS = 200;

using Clock = std::chrono::steady_clock;

/// \brief One kept connection to an HTTP server.
class Caller
{
public:
    explicit Caller(const std::string &address)
        : address_(address)
        , socket_(io_)
    {
        socket_.connect(parseAddress(address));
        socket_.set_option(boost::asio::ip::tcp::no_delay(true));
    }

    /// \brief Sends a request. \return microseconds to the first byte of the body and to its end.
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
        const double first = microsecondsSince(start);
        http::read(socket_, buffer_, parser);
        if (parser.get().result_int() != 200) {
            throw Error("status " + std::to_string(parser.get().result_int()) + ": " + parser.get().body());
        }
        return {first, microsecondsSince(start)};
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

struct Series {
    std::vector<double> first;
    std::vector<double> whole;

    void add(std::pair<double, double> sample)
    {
        first.push_back(sample.first);
        whole.push_back(sample.second);
    }
};

double quantile(std::vector<double> values, double part)
{
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(part * static_cast<double>(values.size())))];
}

void report(const std::string &name, const std::vector<double> &direct, const std::vector<double> &path)
{
    for (const auto &[label, part] : {std::pair("median", 0.5), std::pair("p99", 0.99)}) {
        const double below = quantile(direct, part);
        const double above = quantile(path, part);
        std::cout << name << ' ' << label << ": direct " << below << " us, path " << above << " us, added " << above - below << " us, ratio " << above / below
                  << '\n';
    }
}

HttpRequest completion(int number, int tokens, bool stream)
{
    const nlohmann::json body = {{"model", "model-a"}, {"prompt", "Load " + std::to_string(number)}, {"max_tokens", tokens}, {"stream", stream}};
    return authorized(jsonPost("/v1/completions", body), "key-parkland");
}

void compare(const std::string &name, TestFleet &fleet, int requests, int tokens, bool stream)
{
    Caller direct(fleet.standinAddress("engine-0"));
    Caller path(fleet.entryAddress("entry-1"));
    Series directSeries;
    Series pathSeries;
    for (int i = 0; i < WARM_UP + requests; ++i) {
        const auto directSample = direct.measure(completion(i, tokens, stream));
        const auto pathSample = path.measure(completion(i, tokens, stream));
        if (i >= WARM_UP) {
            directSeries.add(directSample);
            pathSeries.add(pathSample);
        }
    }
    report(name + " first byte", directSeries.first, pathSeries.first);
    report(name + " whole answer", directSeries.whole, pathSeries.whole);
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
