#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace mimosatally::samples
{

/// \brief Size of a serving configuration as an operator writes it.
struct ServingConfigurationSize {
    std::size_t routes = 0;
    std::size_t organisations = 0;
    std::size_t keysPerOrganisation = 2;
};

/// \brief Size for which the bound on stalls is stated: what the large configurations of the platform grow to, with the organisations of the target size.
constexpr ServingConfigurationSize LARGE_CONFIGURATION = {8'400, 1'200, 2};

/// \brief Returns the text of route \a index.
inline std::string routeText(std::size_t index, int timeoutMs = 2000)
{
    const std::string number = std::to_string(index);
    return R"({"name":"r-)" + number + R"(","host":"h)" + std::to_string(index % 7) + R"(.example","pathPrefix":"/p)" + number
           + R"(/","kind":"streaming","timeoutMs":)" + std::to_string(timeoutMs) + R"(,"targetLatencyMs":500,"priority":)" + std::to_string(index % 3)
           + R"(,"trafficSplit":[{"service":"plain","weight":90},{"service":"other","weight":10}],"maxAttempts":2,"public":false,"sessionAffinity":true,"resumable":true,"targetGapMs":200})";
}

/// \brief Returns the text of organisation \a index. \param generation changes its keys.
inline std::string organisationText(std::size_t index, std::size_t keys, int generation = 0)
{
    const std::string number = std::to_string(index);
    std::string text = R"({"name":"org-)" + number + R"(","apiKeys":[)";
    for (std::size_t i = 0; i < keys; ++i) {
        text += (i == 0 ? "\"" : ",\"") + std::string("key-") + number + "-" + std::to_string(i) + "-" + std::to_string(generation) + "-0123456789abcdef\"";
    }
    return text + R"(],"priority":)" + std::to_string(index % 3) + "}";
}

/// \brief Returns the text of a serving configuration. \param firstRoutes text of routes that go before the others, each followed by a comma.
inline std::string servingConfigurationText(const ServingConfigurationSize &size,
                                            std::int64_t version,
                                            const std::string &firstRoutes = {},
                                            int idleTimeoutMs = 15'000)
{
    std::string text = R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + firstRoutes;
    for (std::size_t i = 0; i < size.routes; ++i) {
        text += (i == 0 ? "" : ",") + routeText(i);
    }
    text += R"(],"services":[{"name":"plain","healthPath":"/health","maxConns":50,"protocol":"h1","tls":false},)"
            R"({"name":"other","healthPath":"/health","maxConns":50,"protocol":"h1","tls":false}],)"
            R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":)"
            + std::to_string(idleTimeoutMs) + "}";
    if (size.organisations > 0) {
        text += R"(,"tenants":[)";
        for (std::size_t i = 0; i < size.organisations; ++i) {
            text += (i == 0 ? "" : ",") + organisationText(i, size.keysPerOrganisation);
        }
        text += "]";
    }
    return text + "}";
}

} // namespace mimosatally::samples
