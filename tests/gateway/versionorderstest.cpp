#include "gatewayfixture.h"

#include <catch2/catch.hpp>

#include <set>

using namespace mimosatally;
using namespace mimosatally::test;

// Guards against a version without a prefill engine: engines of two versions do not work together, and a share over all versions can lie with one of them.
TEST_CASE("Engines of each software version get prefill engines of their own", "[gateway]")
{
    GatewayFixture fixture;
    std::mutex mutex;
    std::set<std::string> ordered;
    const auto engine = [&](const std::string &version) {
        return [&, version](const HttpRequest &request) -> AnswerSteps {
            const std::string target(request.target());
            if (target == "/-/report") {
                return {bytes(wholeAnswer("", R"({"phase":"decode","busy":false,"seqNum":0})"))};
            }
            if (target == "/-/order") {
                const std::lock_guard lock(mutex);
                ordered.insert(version);
                return {bytes(wholeAnswer("", "{}", 202))};
            }
            return {bytes(wholeAnswer(requestIdOf(request), "good"))};
        };
    };
    for (const std::string version : {"v1", "v2"}) {
        for (const char *suffix : {"-a", "-b", "-c"}) {
            fixture.addEndpoint(version + suffix, "model", engine(version), R"(,"phase":"decode")", version);
        }
    }
    fixture.configure();
    fixture.startGateway();
    waitUntil("an engine of each version is ordered to prefill", [&] {
        const std::lock_guard lock(mutex);
        return ordered.size() == 2;
    });
}
