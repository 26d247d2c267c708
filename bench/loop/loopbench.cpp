// Time of each operation that runs to its end on a gateway's event loop and grows with the fleet, the organisations or the calls that wait; docs/CAPACITY.md
// has the results. The log lines go to standard output and the results to standard error.

#include "../../tests/configuration/servingconfigurationsample.h"

#include "gateway/gatewaystate.h"
#include "gateway/organisationhashes.h"
#include "gateway/peerdatagram.h"
#include "gateway/peerexchange.h"
#include "gateway/roomwaiters.h"

#include <platform/recordcodec.h>
#include <platform/usagecodec.h>

#include <benchmark/benchmark.h>

#include <iostream>

using namespace mimosatally;
using namespace mimosatally::internal;
using namespace mimosatally::samples;

namespace
{
constexpr int SERVICES = 6;
constexpr std::int64_t ROUTES = 50;
constexpr UsageWindow WINDOW = UsageWindow(100);

/// \brief Heartbeat of endpoint \a index as the store keeps it.
platform::KeyedRecord heartbeatOf(std::int64_t index, std::int64_t heartbeat)
{
    const std::string number = std::to_string(index);
    const std::string address = "10." + std::to_string(index / 250) + ".0." + std::to_string(index % 250 + 1) + ":8000";
    platform::KeyedRecord record;
    record.offset = Offset(heartbeat * 10'000 + index);
    record.key = "endpoint-" + number;
    record.value = R"({"id":"endpoint-)" + number + R"(","service":"model-)" + std::to_string(index % SERVICES) + R"(","address":")" + address
                   + R"(","zone":"dc-)" + std::to_string(index % 14) + R"(","version":"1.4.2","slots":16,"state":"ready","phase":")"
                   + (index % 3 == 0 ? "prefill" : "decode") + R"(","born":1765000000000,"seqNum":)" + std::to_string(heartbeat) + "}";
    return record;
}

std::vector<platform::KeyedRecord> heartbeats(std::int64_t endpoints, std::int64_t heartbeat)
{
    std::vector<platform::KeyedRecord> records;
    for (std::int64_t i = 0; i < endpoints; ++i) {
        records.push_back(heartbeatOf(i, heartbeat));
    }
    return records;
}

std::vector<EndpointRecord> decoded(const std::vector<platform::KeyedRecord> &records)
{
    std::vector<EndpointRecord> result;
    for (const platform::KeyedRecord &record : records) {
        result.push_back(platform::decodeEndpoint(record.key, *record.value));
    }
    return result;
}

void applyAll(EndpointRegistry &registry, const std::vector<EndpointRecord> &records, std::int64_t offset)
{
    const Time now = MilliClock::now();
    for (const EndpointRecord &record : records) {
        registry.apply(record.id, {StoreEra(0), Offset(offset)}, record, now);
    }
}

std::shared_ptr<const ServingConfiguration> configurationOf(std::size_t organisations, std::size_t keys = 2)
{
    ServingConfiguration configuration = platform::decodeConfiguration(servingConfigurationText({ROUTES, organisations, keys}, 7));
    for (int i = 0; i < SERVICES; ++i) {
        ServiceProfile service;
        service.id = ServiceId("model-" + std::to_string(i));
        service.maxConnections = 500;
        service.engine = EngineProfile {16, Tokens(200'000), Bytes(100'000), 1e8, Duration(5000), Duration(2000)};
        configuration.services.emplace(service.id, service);
    }
    return std::make_shared<const ServingConfiguration>(std::move(configuration));
}

/// \brief Gateway with a configuration in force and endpoints.
class Fixture
{
public:
    explicit Fixture(std::int64_t endpoints)
        : gateway_(io_, settings())
        , first_(decoded(heartbeats(endpoints, 1)))
    {
        gateway_.configuration = configurationOf(0);
        beat();
        gateway_.applyEndpoints(MilliClock::now());
    }

    /// \brief Applies a further heartbeat of each endpoint to the registry.
    void beat()
    {
        ++heartbeat_;
        for (EndpointRecord &record : first_) {
            record.heartbeat = heartbeat_;
        }
        applyAll(gateway_.registry, first_, heartbeat_);
    }

    GatewayState &gateway()
    {
        return gateway_;
    }

private:
    static GatewaySettings settings()
    {
        GatewaySettings result;
        result.process = ProcessId("bench");
        result.dataCentre = DataCentreId("dc-0");
        for (int i = 0; i < 14; ++i) {
            result.regions[DataCentreId("dc-" + std::to_string(i))] = RegionId("region-" + std::to_string(i % 6));
        }
        return result;
    }

    boost::asio::io_context io_;
    GatewayState gateway_;
    std::vector<EndpointRecord> first_;
    std::int64_t heartbeat_ = 0;
};

void decodeHeartbeats(benchmark::State &state)
{
    const auto records = heartbeats(state.range(0), 1);
    for (auto _ : state) {
        benchmark::DoNotOptimize(decoded(records));
    }
}

void registerHeartbeats(benchmark::State &state)
{
    auto records = decoded(heartbeats(state.range(0), 1));
    EndpointRegistry registry;
    std::int64_t offset = 0;
    for (auto _ : state) {
        applyAll(registry, records, ++offset);
    }
}

void retainSnapshot(benchmark::State &state)
{
    const auto records = decoded(heartbeats(state.range(0), 1));
    EndpointRegistry registry;
    applyAll(registry, records, 1);
    for (auto _ : state) {
        std::set<EndpointId> present;
        for (const EndpointRecord &record : records) {
            present.insert(record.id);
        }
        registry.retain(present, {StoreEra(0), Offset(2)}, MilliClock::now());
    }
}

void applyUnchangedEndpoints(benchmark::State &state)
{
    Fixture fixture(state.range(0));
    for (auto _ : state) {
        fixture.gateway().applyEndpoints(MilliClock::now());
    }
}

void applyEndpointsAfterHeartbeats(benchmark::State &state)
{
    Fixture fixture(state.range(0));
    for (auto _ : state) {
        state.PauseTiming();
        fixture.beat();
        state.ResumeTiming();
        fixture.gateway().applyEndpoints(MilliClock::now());
    }
}

void applyNewEndpoints(benchmark::State &state)
{
    for (auto _ : state) {
        state.PauseTiming();
        auto fixture = std::make_unique<Fixture>(0);
        applyAll(fixture->gateway().registry, decoded(heartbeats(state.range(0), 1)), 1);
        state.ResumeTiming();
        fixture->gateway().applyEndpoints(MilliClock::now());
        state.PauseTiming();
        fixture.reset();
        state.ResumeTiming();
    }
}

void setRouterEndpoints(benchmark::State &state)
{
    Fixture fixture(state.range(0));
    GatewayState &gateway = fixture.gateway();
    for (auto _ : state) {
        gateway.router.setEndpoints(gateway.registry.endpoints(), *gateway.configuration, MilliClock::now());
    }
}

/// \brief A changed number of processes also changes the limits of idle connections.
void changeProcessCount(benchmark::State &state)
{
    Fixture fixture(state.range(0));
    int count = 68;
    for (auto _ : state) {
        count = count == 68 ? 67 : 68;
        fixture.gateway().setProcessCount(count, MilliClock::now());
    }
}

void closeExpiredConnections(benchmark::State &state)
{
    Fixture fixture(state.range(0));
    ConnectionPool &pool = fixture.gateway().connections;
    for (const auto &[id, record] : fixture.gateway().registry.endpoints()) {
        pool.put(pool.make(record.address), std::nullopt, MilliClock::now());
    }
    for (auto _ : state) {
        pool.closeExpired(MilliClock::now() - std::chrono::hours(1));
    }
    state.counters["idle"] = static_cast<double>(pool.idleConnections());
}

void setProcessCount(benchmark::State &state)
{
    Fixture fixture(state.range(0));
    for (auto _ : state) {
        fixture.gateway().router.setProcessCount(68, MilliClock::now());
    }
}

void reportRouterFigures(benchmark::State &state)
{
    Fixture fixture(state.range(0));
    const GatewayState &gateway = fixture.gateway();
    for (auto _ : state) {
        benchmark::DoNotOptimize(gateway.router.requestLimits(MilliClock::now()));
        benchmark::DoNotOptimize(gateway.router.limitNotices(MilliClock::now()));
        benchmark::DoNotOptimize(gateway.router.speedSummaries());
        benchmark::DoNotOptimize(gateway.router.engineTimes());
    }
}

void placeCall(benchmark::State &state)
{
    Fixture fixture(state.range(0));
    PlacementRequest request;
    request.service = ServiceId("model-1");
    request.promptTokens = Tokens(2000);
    for (auto _ : state) {
        benchmark::DoNotOptimize(fixture.gateway().router.place(request, MilliClock::now()));
    }
}

/// \brief Arguments: endpoints, routes of the configuration.
void answerPeer(benchmark::State &state)
{
    NewestRecords records;
    for (platform::KeyedRecord &record : heartbeats(state.range(0), 1)) {
        std::string key = record.key;
        records.endpoints.emplace(std::move(key), PositionedRecord {StoreEra(0), std::move(record)});
    }
    platform::KeyedRecord configuration;
    configuration.key = platform::CONFIGURATION_KEY;
    configuration.value = servingConfigurationText({static_cast<std::size_t>(state.range(1)), 1200, 2}, 7);
    records.configuration = std::make_shared<const PositionedRecord>(PositionedRecord {StoreEra(0), std::move(configuration)});
    kj::EventLoop loop;
    kj::WaitScope scope(loop);
    schema::Gateway::Client client = kj::heap<PeerService>(records);
    for (auto _ : state) {
        auto request = client.newestRecordsRequest();
        const auto answer = request.send().wait(scope);
        benchmark::DoNotOptimize(answer.getEndpoints().size());
    }
}

/// \brief Notice of one process on a window in which it has counted \a organisations. \param process number of the process.
UsageNotice usageNotice(std::int64_t process, std::int64_t organisations)
{
    UsageNotice notice;
    notice.process = ProcessId("gateway-" + std::to_string(process) + "@1765000000000");
    notice.window = WINDOW;
    notice.sequence = 1;
    for (std::int64_t i = 0; i < organisations; ++i) {
        notice.counts.emplace("organisation-" + std::to_string(i), 3);
    }
    return notice;
}

/// \brief Arguments: gateways, organisations that each of them has counted.
void sumUsage(benchmark::State &state)
{
    UsageLedger ledger(ProcessId("bench"));
    ledger.advance(WINDOW);
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        ledger.record(usageNotice(i, state.range(1)));
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(ledger.totals(WINDOW));
    }
}

/// \brief Ledger of a process that has counted \a organisations in each window that is kept.
UsageLedger filledLedger(std::int64_t organisations)
{
    UsageLedger ledger(ProcessId("bench"));
    for (std::int64_t window = 0; window < UsageLedger::MAX_WINDOWS; ++window) {
        ledger.advance(WINDOW + UsageWindow(window));
        for (std::int64_t i = 0; i < organisations; ++i) {
            ledger.count(WINDOW + UsageWindow(window), OrganisationId("organisation-" + std::to_string(i)));
        }
    }
    return ledger;
}

void makeUsageDatagrams(benchmark::State &state)
{
    UsageLedger ledger = filledLedger(state.range(0));
    for (auto _ : state) {
        for (const PeerDatagram &datagram : batchUsageNotices(RegionId("region-0"), ledger.takeNotices(true))) {
            benchmark::DoNotOptimize(encodeDatagram(datagram));
        }
    }
}

UsageRecord usageRecord(std::int64_t organisations)
{
    UsageRecord record;
    for (std::size_t i = 0; i < UsageRecord::MAX_REPORTS; ++i) {
        record.reports.push_back({WINDOW + UsageWindow(static_cast<std::int64_t>(i)), usageNotice(0, organisations).counts});
    }
    return record;
}

void encodeUsageRecord(benchmark::State &state)
{
    const UsageRecord record = usageRecord(state.range(0));
    for (auto _ : state) {
        benchmark::DoNotOptimize(platform::encodeUsageRecord(record));
    }
}

void decodeUsageRecord(benchmark::State &state)
{
    const std::string text = platform::encodeUsageRecord(usageRecord(state.range(0)));
    for (auto _ : state) {
        benchmark::DoNotOptimize(platform::decodeUsageRecord(text));
    }
    state.counters["bytes"] = static_cast<double>(text.size());
}

void encodeUsageReport(benchmark::State &state)
{
    const UsageReport report = usageRecord(state.range(0)).reports.front();
    for (auto _ : state) {
        benchmark::DoNotOptimize(platform::encodeUsageReport(report));
    }
}

/// \brief The holder of the lease asks several times a second what is to be done; here nothing is, with all reports written. Arguments: organisations.
void decideUsageAction(benchmark::State &state)
{
    UsageReporter reporter({Duration(5000), Duration(10'000)});
    UsageView view;
    view.now = MilliClock::now();
    view.unixMs = WINDOW.count() * 5000;
    view.totals = [](UsageWindow) {
        return WindowTotals();
    };
    reporter.acquire({1, view.now, StoreEra(0), view.now});
    reporter.next(view);
    reporter.recordAppended();
    UsageRecord record = usageRecord(state.range(0));
    record.next = record.reports.back().window + UsageWindow(1);
    record.settled = record.reports.back().window;
    reporter.recordRead(record, view);
    for (auto _ : state) {
        const UsageAction action = reporter.next(view);
        invariant(std::holds_alternative<UsageWait>(action), "nothing is to be done");
    }
}

void copyUsageNotices(benchmark::State &state)
{
    UsageLedger ledger = filledLedger(state.range(0));
    for (auto _ : state) {
        benchmark::DoNotOptimize(ledger.takeNotices(true));
    }
}

/// \brief Arguments: gateways to which one full datagram is sent.
void sendDatagram(benchmark::State &state)
{
    using boost::asio::ip::udp;
    boost::asio::io_context io;
    udp::socket sender(io, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    udp::socket receiver(io, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    const std::string bytes(MAX_DATAGRAM_BYTES, 'x');
    for (auto _ : state) {
        for (std::int64_t i = 0; i < state.range(0); ++i) {
            boost::system::error_code ignored;
            sender.send_to(boost::asio::buffer(bytes), receiver.local_endpoint(), 0, ignored);
        }
    }
}

void learnOrganisations(benchmark::State &state)
{
    const auto configuration = configurationOf(static_cast<std::size_t>(state.range(0)));
    OrganisationHashes hashes;
    for (auto _ : state) {
        hashes.learn(*configuration);
    }
}

void updateShares(benchmark::State &state)
{
    FairShare shares;
    Time now = MilliClock::now();
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        shares.recordOffered(OrganisationId("organisation-" + std::to_string(i)), static_cast<double>((i * 7919) % 1000), now);
        shares.recordServed(OrganisationId("organisation-" + std::to_string(i)), 100, now);
    }
    for (auto _ : state) {
        now += Duration(250);
        state.PauseTiming();
        for (std::int64_t i = 0; i < state.range(0); ++i) {
            shares.recordOffered(OrganisationId("organisation-" + std::to_string(i)), static_cast<double>((i * 7919) % 1000), now);
        }
        state.ResumeTiming();
        benchmark::DoNotOptimize(shares.standingOf(OrganisationId("organisation-1"), now));
    }
}

/// \brief Arguments: time series, of which a tenth are distributions.
void exposeMetrics(benchmark::State &state)
{
    Metrics metrics;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        const std::string label = "organisation=\"organisation-" + std::to_string(i) + '"';
        if (i % 10 == 0) {
            metrics.observe("mimosatally_first_byte_seconds", label, 0.1);
        } else {
            metrics.increment("mimosatally_organisation_calls_total", label);
        }
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(metrics.exposition());
    }
}

void decideSuspects(benchmark::State &state)
{
    CrashSuspects suspects(1);
    const Time now = MilliClock::now();
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        const std::vector<SuspectId> ids = {suspectOfPart(static_cast<std::uint64_t>(i + 1))};
        suspects.recordCall(ids, now);
        for (std::int64_t crash = 0; crash < 3; ++crash) {
            suspects.recordCrash(crashIdOf(EndpointId("endpoint-" + std::to_string(crash + i % 7)), 1), ids, now, Duration(1));
        }
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(suspects.decide(now));
        benchmark::DoNotOptimize(suspects.notices(32, now));
    }
    state.counters["suspects"] = static_cast<double>(suspects.suspectCount());
}

/// \brief Arguments: keys, of which each organisation has 16.
void buildKeyTable(benchmark::State &state)
{
    constexpr std::size_t keysPerOrganisation = 16;
    const auto configuration = configurationOf(static_cast<std::size_t>(state.range(0)) / keysPerOrganisation, keysPerOrganisation);
    for (auto _ : state) {
        benchmark::DoNotOptimize(KeyTable(configuration));
    }
}

/// \brief Arguments: calls that wait. The handlers of the timers run in further turns of the loop.
void wakeWaitingCalls(benchmark::State &state)
{
    boost::asio::io_context io;
    RoomWaiters waiters;
    std::vector<std::unique_ptr<boost::asio::steady_timer>> timers;
    std::vector<std::unique_ptr<RoomWaiters::Entry>> entries;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        timers.push_back(std::make_unique<boost::asio::steady_timer>(io, std::chrono::hours(1)));
        const WaitingOrder order {static_cast<int>(i % 3), MilliClock::now() + Duration(i)};
        entries.push_back(std::make_unique<RoomWaiters::Entry>(waiters, ServiceId("model-1"), order, *timers.back()));
    }
    for (auto _ : state) {
        state.PauseTiming();
        for (auto &timer : timers) {
            timer->async_wait([](const boost::system::error_code &) {});
        }
        state.ResumeTiming();
        waiters.wakeAll();
        state.PauseTiming();
        io.poll();
        io.restart();
        state.ResumeTiming();
    }
}

/// \brief Arguments: log lines of one housekeeping interval.
void writeLog(benchmark::State &state)
{
    for (auto _ : state) {
        for (std::int64_t i = 0; i < state.range(0); ++i) {
            logEvent(LogEvent::EndpointGone, {{"endpoint", "endpoint-" + std::to_string(i)}});
        }
        logCheckpoint();
        flushLog();
    }
}

/// \brief Endpoints of the deployments in force and of the target size.
void endpointCounts(benchmark::internal::Benchmark *benchmark)
{
    benchmark->Arg(60)->Arg(3800)->Unit(benchmark::kMillisecond);
}

void organisationCounts(benchmark::internal::Benchmark *benchmark)
{
    benchmark->Arg(72)->Arg(1'200)->Arg(10'000)->Unit(benchmark::kMillisecond);
}

BENCHMARK(decodeHeartbeats)->Apply(endpointCounts);
BENCHMARK(registerHeartbeats)->Apply(endpointCounts);
BENCHMARK(retainSnapshot)->Apply(endpointCounts);
BENCHMARK(applyUnchangedEndpoints)->Apply(endpointCounts);
BENCHMARK(applyEndpointsAfterHeartbeats)->Apply(endpointCounts);
BENCHMARK(applyNewEndpoints)->Apply(endpointCounts);
BENCHMARK(setRouterEndpoints)->Apply(endpointCounts);
BENCHMARK(changeProcessCount)->Apply(endpointCounts);
BENCHMARK(closeExpiredConnections)->Apply(endpointCounts);
BENCHMARK(setProcessCount)->Apply(endpointCounts);
BENCHMARK(reportRouterFigures)->Apply(endpointCounts);
BENCHMARK(placeCall)->Apply(endpointCounts);
BENCHMARK(answerPeer)->Args({60, 8'400})->Args({3'800, 8'400})->Unit(benchmark::kMillisecond);
BENCHMARK(sumUsage)->Args({68, 72})->Args({68, 250})->Args({68, 1'200})->Args({370, 80})->Args({370, 800})->Args({30, 10'000})->Unit(benchmark::kMillisecond);
BENCHMARK(makeUsageDatagrams)->Arg(80)->Arg(250)->Apply(organisationCounts);
BENCHMARK(copyUsageNotices)->Arg(250)->Arg(1'200)->Unit(benchmark::kMillisecond);
BENCHMARK(sendDatagram)->Arg(67)->Arg(369)->Unit(benchmark::kMillisecond);
BENCHMARK(decideUsageAction)->Apply(organisationCounts);
BENCHMARK(encodeUsageRecord)->Apply(organisationCounts);
BENCHMARK(decodeUsageRecord)->Apply(organisationCounts);
BENCHMARK(encodeUsageReport)->Apply(organisationCounts);
BENCHMARK(learnOrganisations)->Apply(organisationCounts);
BENCHMARK(updateShares)->Apply(organisationCounts);
BENCHMARK(exposeMetrics)->Arg(300)->Arg(1'200)->Unit(benchmark::kMillisecond);
BENCHMARK(decideSuspects)->Arg(16)->Arg(1'024)->Unit(benchmark::kMillisecond);
BENCHMARK(buildKeyTable)->Arg(2'400)->Arg(20'000)->Unit(benchmark::kMillisecond);
BENCHMARK(wakeWaitingCalls)->Arg(500)->Unit(benchmark::kMillisecond);
BENCHMARK(writeLog)->Arg(100)->Arg(1'000)->Unit(benchmark::kMillisecond);
} // namespace

int main(int argc, char **argv)
{
    startBoundedLogging("bench", LogLevel::Info);
    benchmark::Initialize(&argc, argv);
    benchmark::ConsoleReporter reporter(benchmark::ConsoleReporter::OO_Tabular);
    reporter.SetOutputStream(&std::cerr);
    reporter.SetErrorStream(&std::cerr);
    benchmark::RunSpecifiedBenchmarks(&reporter);
    return EXIT_SUCCESS;
}
