#include "trace.h"

#include <algorithm>
#include <sstream>

namespace mimosatally::bench
{

namespace
{
std::uint64_t mixBits(std::uint64_t value)
{
    // splitmix64: distributes small numbers over 64 bits.
    value += 0x9e3779b97f4a7c15U;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

Time timeOf(std::int64_t milliseconds)
{
    return Time(Duration(milliseconds));
}

class TraceReader
{
public:
    explicit TraceReader(std::string name)
        : name_(std::move(name))
    {
    }

    void readLine(const std::string &line)
    {
        ++number_;
        std::istringstream in(line.substr(0, line.find('#')));
        std::string kind;
        if (in >> kind && (!readKind(kind, in) || in.fail())) {
            findings_.add({name_, number_}, "cannot be read: " + line);
        }
    }

    Trace takeTrace()
    {
        findings_.throwIfAny();
        std::stable_sort(trace_.requests.begin(), trace_.requests.end(), [](const TraceRequest &left, const TraceRequest &right) {
            return left.at < right.at;
        });
        return std::move(trace_);
    }

private:
    bool readKind(const std::string &kind, std::istream &in)
    {
        if (kind == "contract") {
            return readContract(in);
        }
        if (kind == "request") {
            return readRequest(in);
        }
        if (kind == "withdraw") {
            std::int64_t at = 0;
            Withdrawal withdrawal;
            in >> at >> withdrawal.engine;
            withdrawal.at = timeOf(at);
            trace_.withdrawals.push_back(withdrawal);
            return withdrawal.engine < ENGINES;
        }
        if (kind == "role") {
            return readRole(in);
        }
        if (kind == "reports") {
            std::int64_t from = 0;
            std::int64_t to = 0;
            std::int64_t age = 0;
            in >> from >> to >> age;
            trace_.reportDelays.push_back({timeOf(from), timeOf(to), Duration(age)});
            return true;
        }
        return false;
    }

    bool readRole(std::istream &in)
    {
        InitialRole initial;
        std::string role;
        in >> initial.engine >> role;
        initial.role = role == "prefill" ? EngineRole::Prefill : role == "decode" ? EngineRole::Decode : EngineRole::Mixed;
        trace_.roles.push_back(initial);
        return initial.engine < ENGINES && (role == "mixed" || initial.role != EngineRole::Mixed);
    }

    bool readContract(std::istream &in)
    {
        std::string customer;
        std::int64_t wait = 0;
        Contract contract;
        in >> customer >> contract.shareMillionths >> contract.priority >> wait;
        contract.customer = CustomerId(customer);
        contract.longestWait = Duration(wait);
        trace_.contracts.push_back(contract);
        return true;
    }

    bool readRequest(std::istream &in)
    {
        std::int64_t at = 0;
        std::string customer;
        TraceRequest request;
        in >> at >> customer >> request.region >> request.promptTokens >> request.outputTokens >> request.prefix >> request.prefixBlocks >> request.surge;
        request.at = timeOf(at);
        const auto found = std::find_if(trace_.contracts.begin(), trace_.contracts.end(), [&](const Contract &contract) {
            return contract.customer.value() == customer;
        });
        request.customer = static_cast<std::size_t>(found - trace_.contracts.begin());
        trace_.requests.push_back(request);
        return found != trace_.contracts.end() && request.region < REGIONS;
    }

    std::string name_;
    int number_ = 0;
    Trace trace_;
    Findings findings_;
};
} // namespace

Time Trace::end() const
{
    return requests.empty() ? Time() : requests.back().at;
}

Trace Trace::withoutSurge() const
{
    Trace result = *this;
    std::erase_if(result.requests, [](const TraceRequest &request) {
        return request.surge;
    });
    return result;
}

std::int64_t weightOf(const TraceRequest &request)
{
    const TokenCosts costs;
    return request.promptTokens * costs.promptToken + request.outputTokens * costs.outputToken;
}

std::vector<std::uint64_t> blockHashes(const TraceRequest &request, std::size_t index)
{
    std::vector<std::uint64_t> result;
    const std::int64_t blocks = request.promptTokens / BLOCK_TOKENS;
    for (std::int64_t block = 0; block < blocks; ++block) {
        const std::uint64_t content = block < request.prefixBlocks ? mixBits(request.prefix) : mixBits(~static_cast<std::uint64_t>(index));
        result.push_back(mixBits(content + static_cast<std::uint64_t>(block)));
    }
    return result;
}

Trace readTrace(std::istream &in, const std::string &name)
{
    TraceReader reader(name);
    for (std::string line; std::getline(in, line);) {
        reader.readLine(line);
    }
    return reader.takeTrace();
}

} // namespace mimosatally::bench
