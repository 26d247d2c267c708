#include "peerexchange.h"

#include <mimosatally/Http>

namespace mimosatally::internal
{

using boost::asio::awaitable;

namespace
{
constexpr Duration CONNECT_TIMEOUT = Duration(500);
constexpr Duration ANSWER_TIMEOUT = Duration(800);
constexpr std::size_t MAX_MESSAGE_BYTES = std::size_t(16) * 1024 * 1024;

void writeRecord(const platform::KeyedRecord &record, schema::StoreRecord::Builder message)
{
    message.setOffset(record.offset.count());
    message.setKey(record.key);
    message.setPresent(record.value.has_value());
    if (record.value) {
        message.setValue(kj::ArrayPtr<const kj::byte>(reinterpret_cast<const kj::byte *>(record.value->data()), record.value->size()));
    }
}

platform::KeyedRecord readRecord(schema::StoreRecord::Reader message)
{
    platform::KeyedRecord record;
    record.offset = Offset(message.getOffset());
    record.key = message.getKey().cStr();
    if (message.getPresent()) {
        const auto value = message.getValue();
        record.value = std::string(reinterpret_cast<const char *>(value.begin()), value.size());
    }
    return record;
}
} // namespace

PeerService::PeerService(const NewestRecords &records)
    : records_(records)
{
}

kj::Promise<void> PeerService::newestRecords(NewestRecordsContext context)
{
    const std::int64_t from = context.getParams().getEndpointsFrom();
    auto results = context.getResults();
    if (records_.configuration) {
        writeRecord(*records_.configuration, results.initConfiguration());
    }
    std::vector<const platform::KeyedRecord *> newer;
    for (const auto &[key, record] : records_.endpoints) {
        if (record.offset.count() >= from) {
            newer.push_back(&record);
        }
    }
    auto list = results.initEndpoints(static_cast<unsigned>(newer.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
        writeRecord(*newer[i], list[i]);
    }
    return kj::READY_NOW;
}

awaitable<NewestRecords> fetchPeerRecords(RpcContext &rpc, std::string address, Offset endpointsFrom)
{
    const auto connection = co_await RpcConnection::connect(rpc, parseAddress(address), CONNECT_TIMEOUT, MAX_MESSAGE_BYTES);
    schema::Gateway::Client peer = connection->bootstrap().castAs<schema::Gateway>();
    auto request = peer.newestRecordsRequest();
    request.setEndpointsFrom(endpointsFrom.count());
    using Answer = capnp::Response<schema::Gateway::NewestRecordsResults>;
    kj::Promise<Answer> sent(request.send());
    const Answer answer = co_await awaitPromise(rpc.io(), kj::mv(sent), ANSWER_TIMEOUT);
    NewestRecords records;
    if (answer.hasConfiguration()) {
        records.configuration = readRecord(answer.getConfiguration());
    }
    for (const auto record : answer.getEndpoints()) {
        platform::KeyedRecord next = readRecord(record);
        records.endpoints.insert_or_assign(next.key, std::move(next));
    }
    co_return records;
}

} // namespace mimosatally::internal
