#include "peerexchange.h"

#include <mimosatally/Http>

namespace mimosatally::internal
{

using boost::asio::awaitable;

namespace
{
constexpr Duration CONNECT_TIMEOUT = Duration(500);
constexpr std::size_t MAX_MESSAGE_BYTES = std::size_t(16) * 1024 * 1024;

void writeRecord(const PositionedRecord &positioned, schema::StoreRecord::Builder message)
{
    const platform::KeyedRecord &record = positioned.record;
    message.setEra(positioned.era.count());
    message.setOffset(record.offset.count());
    message.setKey(record.key);
    message.setPresent(record.value.has_value());
    if (record.value) {
        message.setValue(kj::ArrayPtr<const kj::byte>(reinterpret_cast<const kj::byte *>(record.value->data()), record.value->size()));
    }
}

PositionedRecord readRecord(schema::StoreRecord::Reader message)
{
    platform::KeyedRecord record;
    record.offset = Offset(message.getOffset());
    record.key = message.getKey().cStr();
    if (message.getPresent()) {
        const auto value = message.getValue();
        record.value = std::string(reinterpret_cast<const char *>(value.begin()), value.size());
    }
    return {StoreEra(message.getEra()), std::move(record)};
}

/// \brief Returns whether the caller wants a configuration of rank \a own.
bool isWanted(schema::Gateway::NewestRecordsParams::Reader params, const ConfigurationRank &own)
{
    if (params.getWithoutConfiguration()) {
        return false;
    }
    if (!params.hasKnown()) {
        return true;
    }
    const auto known = params.getKnown();
    return own > ConfigurationRank {known.getVersion(), {StoreEra(known.getEra()), Offset(known.getOffset())}};
}
/// \brief Copies the records out of an answer. \throws MalformedInputError if it cannot be read.
NewestRecords readRecords(schema::Gateway::NewestRecordsResults::Reader answer, StorePosition endpointsFrom)
try {
    NewestRecords records;
    if (answer.hasConfiguration()) {
        records.configuration = std::make_shared<const PositionedRecord>(readRecord(answer.getConfiguration()));
    }
    for (const auto record : answer.getEndpoints()) {
        PositionedRecord next = readRecord(record);
        std::string key = next.record.key;
        // A gateway of an earlier version knows no eras and sends records of all of them.
        if (next.position() >= endpointsFrom) {
            records.endpoints.insert_or_assign(std::move(key), std::move(next));
        }
    }
    return records;
} catch (const kj::Exception &exception) {
    throw MalformedInputError(std::string("the answer cannot be read: ") + exception.getDescription().cStr());
}
} // namespace

std::optional<ConfigurationRank> NewestRecords::configurationRank() const
{
    if (!configuration) {
        return std::nullopt;
    }
    return ConfigurationRank {configurationVersion, configuration->position()};
}

PeerService::PeerService(const NewestRecords &records)
    : records_(records)
{
}

kj::Promise<void> PeerService::newestRecords(NewestRecordsContext context)
{
    const auto params = context.getParams();
    const StorePosition from {StoreEra(params.getEndpointsFromEra()), Offset(params.getEndpointsFrom())};
    auto results = context.getResults();
    const std::shared_ptr<const PositionedRecord> &configuration = records_.configuration;
    if (configuration && isWanted(params, {records_.configurationVersion, configuration->position()})) {
        writeRecord(*configuration, results.initConfiguration());
    }
    std::vector<const PositionedRecord *> newer;
    for (const auto &[key, record] : records_.endpoints) {
        if (record.position() >= from) {
            newer.push_back(&record);
        }
    }
    auto list = results.initEndpoints(static_cast<unsigned>(newer.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
        writeRecord(*newer[i], list[i]);
    }
    return kj::READY_NOW;
}

awaitable<NewestRecords> fetchPeerRecords(RpcContext &rpc, std::string address, PeerQuery query)
{
    const auto connection = co_await RpcConnection::connect(rpc, parseAddress(address), CONNECT_TIMEOUT, MAX_MESSAGE_BYTES);
    schema::Gateway::Client peer = connection->bootstrap().castAs<schema::Gateway>();
    auto request = peer.newestRecordsRequest();
    request.setEndpointsFrom(query.endpointsFrom.offset.count());
    request.setEndpointsFromEra(query.endpointsFrom.era.count());
    request.setWithoutConfiguration(!query.wantsConfiguration);
    if (query.knownConfiguration) {
        auto known = request.initKnown();
        known.setVersion(query.knownConfiguration->version);
        known.setEra(query.knownConfiguration->position.era.count());
        known.setOffset(query.knownConfiguration->position.offset.count());
    }
    using Answer = capnp::Response<schema::Gateway::NewestRecordsResults>;
    kj::Promise<Answer> sent(request.send());
    const Answer answer = co_await awaitPromise(rpc.io(), kj::mv(sent), query.timeout);
    co_return readRecords(answer, query.endpointsFrom);
}

} // namespace mimosatally::internal
