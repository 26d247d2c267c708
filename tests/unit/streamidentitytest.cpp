#include "streams/streamidentity.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using internal::StreamIdentity;

namespace
{
EndpointRecord endpoint(const std::string &version, std::int64_t startedAt = 1)
{
    EndpointRecord record;
    record.id = EndpointId("e");
    record.version = SoftwareVersion(version);
    record.startedAt = startedAt;
    return record;
}

StreamIdentity newStream()
{
    return {RequestId("r1"), ServiceId("s")};
}
} // namespace

// Guards against a stream bound to an endpoint's version at a later time than that of the attempt, and against one that changes its version.
TEST_CASE("A stream is bound to the version to which the attempt of its first event was sent", "[streamidentity]")
{
    StreamIdentity stream = newStream();
    stream.recordSent(endpoint("v1"));
    CHECK_FALSE(stream.version());
    const EndpointRecord current = endpoint("v1");
    CHECK(stream.accepts(&current));
    stream.bind(&current);
    CHECK(stream.version() == SoftwareVersion("v1"));
    stream.recordSent(endpoint("v2"));
    CHECK_FALSE(stream.accepts(nullptr));
    stream.bind(nullptr);
    CHECK(stream.version() == SoftwareVersion("v1"));
    stream.recordSent(endpoint("v1", 2));
    CHECK(stream.accepts(nullptr));
}

// Guards against events of an endpoint that started again with another version between the attempt and its answer, under the same id.
TEST_CASE("An endpoint that started again has no known version for the open attempt", "[streamidentity]")
{
    StreamIdentity stream = newStream();
    stream.recordSent(endpoint("v1"));
    const EndpointRecord restarted = endpoint("v2", 2);
    StreamIdentity resumed = newStream();
    resumed.resume(RequestId("r0"), ServiceId("s"), SoftwareVersion("v1"));
    resumed.recordSent(endpoint("v1"));
    CHECK_FALSE(resumed.accepts(&restarted));
    CHECK(resumed.root() == RequestId("r0"));
    stream.bind(&restarted);
    REQUIRE(stream.version());
    CHECK(stream.version()->empty());
    stream.recordSent(endpoint("v1"));
    CHECK_FALSE(stream.accepts(nullptr));
}

// Guards against endpoints without a version that are taken for endpoints of the same version.
TEST_CASE("A stream of an unknown version is continued by no endpoint", "[streamidentity]")
{
    StreamIdentity stream = newStream();
    stream.recordSent(endpoint(""));
    stream.bind(nullptr);
    stream.recordSent(endpoint(""));
    CHECK_FALSE(stream.accepts(nullptr));
}
