#include <catch2/catch.hpp>

#include "agent/rpcagent.h"

#include <capnp/message.h>

using namespace mimosatally;
using mimosatally::internal::readRequest;

namespace
{
/// \brief Valid submit of which a test changes one field.
struct Message {
    Message()
        : request(builder.initRoot<schema::Request>())
    {
        request.setId("r1");
        request.setCustomer("parkland");
        request.setMethod("POST");
        request.setPath("/v1/completions");
        request.setMayRepeat(true);
    }

    std::shared_ptr<internal::AgentRequest> read()
    {
        return readRequest(io, request.asReader(), MilliClock::now());
    }

    boost::asio::io_context io;
    capnp::MallocMessageBuilder builder;
    schema::Request::Builder request;
};

template<class Mutate>
void checkRejected(Mutate mutate)
{
    Message message;
    mutate(message.request);
    CHECK_THROWS_AS(message.read(), MalformedInputError);
}
} // namespace

// Guards against fields of a faulty peer that reach the endpoint's HTTP head, the scheduler or the claims.
TEST_CASE("Submits with malformed fields are rejected", "[agent]")
{
    Message valid;
    CHECK(valid.read()->path == "/v1/completions");
    checkRejected([](auto &request) {
        request.setId("");
    });
    checkRejected([](auto &request) {
        request.setId(std::string(300, 'a'));
    });
    checkRejected([](auto &request) {
        request.setCustomer("");
    });
    checkRejected([](auto &request) {
        request.setPath("/a\r\nX-Admin: 1");
    });
    checkRejected([](auto &request) {
        request.setPath("http://elsewhere/");
    });
    checkRejected([](auto &request) {
        request.setMethod("POST /other HTTP/1.1");
    });
    checkRejected([](auto &request) {
        request.setIdempotencyKey("a\nb");
    });
    checkRejected([](auto &request) {
        request.setPromptTokens(-1);
    });
    checkRejected([](auto &request) {
        request.setMaxOutputTokens(std::numeric_limits<std::int64_t>::max());
    });
    checkRejected([](auto &request) {
        request.setMayRepeat(false);
        request.setClaimPartition(std::numeric_limits<std::uint32_t>::max());
    });
}
