#pragma once

#include <mimosatally/Config>

#include <cstddef>
#include <cstdint>
#include <string>

namespace mimosatally::samples
{

constexpr std::int64_t TOTAL_SHARE = 1'000'000;
constexpr std::size_t PORTS_PER_ADDRESS = 60'000;

/// \brief Operator `op` and its keys.
struct SampleOperator {
    SigningKeyPair keys = generateSigningKeyPair();

    [[nodiscard]] Operator description() const
    {
        return {OperatorId("op"), keys.publicKey, {}};
    }

    [[nodiscard]] std::string publishRecord(const std::string &id, std::int64_t base, const std::string &document, DocumentKind kind = DocumentKind::Full) const
    {
        return makePublishRecord(RecordId(id), Offset(base), OperatorId("op"), document, keys.privateKey, kind);
    }

    [[nodiscard]] std::string instanceRecord(const std::string &id, InstanceAction action, const std::string &instance) const
    {
        return makeInstanceRecord(RecordId(id), action, InstanceId(instance), OperatorId("op"), keys.privateKey);
    }
};

/// \brief Configuration with instances `i0`, `i1`, ... and customers `c0`, `c1`, ...
inline Configuration sampleConfiguration(const Operator &signer, std::size_t contracts, std::size_t endpoints)
{
    Configuration result;
    result.models = {ModelId("model")};
    result.dataCentres = {{DataCentreId("dc"), RegionId("region")}};
    result.operators = {signer};
    for (std::size_t i = 0; i < contracts; ++i) {
        const std::string name = "c" + std::to_string(i);
        result.contracts.push_back({CustomerId(name), TOTAL_SHARE / static_cast<std::int64_t>(contracts), 1, Duration(3000), {sha256Hex(name)}});
    }
    for (std::size_t i = 0; i < endpoints; ++i) {
        Endpoint endpoint;
        endpoint.id = EndpointId("e" + std::to_string(i));
        endpoint.instance = InstanceId("i" + std::to_string(i));
        endpoint.dataCentre = DataCentreId("dc");
        endpoint.region = RegionId("region");
        endpoint.agentAddress = "10.0." + std::to_string(i / PORTS_PER_ADDRESS) + ".1:" + std::to_string(1 + i % PORTS_PER_ADDRESS);
        endpoint.models = {ModelId("model")};
        result.endpoints.push_back(std::move(endpoint));
    }
    return result;
}

} // namespace mimosatally::samples
