#pragma once

#include "configuration.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mimosatally
{

/// \brief Bounds on what one HTTP caller may use.
struct HttpSettings {
    std::size_t maxHeaderBytes = 16'384;
    std::size_t maxBodyBytes = 8'388'608;
    std::size_t maxConnections = 4096;
    /// \brief Time for a complete request after its first byte, and for each write to the peer.
    Duration transferTimeout = Duration(15000);
    /// \brief Time that a connection may stay without a request.
    Duration idleTimeout = Duration(60000);
};

/// \brief Settings that every process has. Addresses have the form `ip:port` and were checked.
struct ProcessSettings {
    /// \brief Name in logs and audit records.
    ProcessId process;
    InstanceId instance;
    RegionId region;
    DataCentreId dataCentre;
    /// \brief Address of the append-only log service.
    std::string logService;
    /// \brief Address of the instance list.
    std::string instanceList;
    /// \brief Operators that may sign the first configuration.
    std::vector<Operator> bootstrapOperators;
    /// \brief Limits of the HTTP server.
    HttpSettings http;
    LogLevel logLevel = LogLevel::Info;
    /// \brief Seed of all random choices; 0 takes a seed from the system.
    std::uint64_t seed = 0;
    /// \brief An entry writes a snapshot when the configuration stream has so many records after the last one; 0 writes none.
    std::int64_t snapshotEvery = 256;
    /// \brief An entry also writes a snapshot at this age of the last one. Set it to less than half of the log's retention time.
    Duration snapshotAge = Duration(21'600'000);
};

struct EntrySettings : ProcessSettings {
    /// \brief Address of the HTTP API.
    std::string listen;
};

struct AgentSettings : ProcessSettings {
    /// \brief Address for RPC from entries.
    std::string listen;
    /// \brief Address for `/healthz`, `/readyz` and `/metrics`.
    std::string statusListen;
    EndpointId endpoint;
    /// \brief HTTP address of the endpoint.
    std::string endpointAddress;
    /// \brief Bounds on the requests that wait or run at the agent, and on the bytes of their bodies.
    std::size_t maxQueuedRequests = 4096;
    std::size_t maxQueuedBytes = 8'388'608;
    /// \brief Bound on the lifetime of orders; the same for every process beside the endpoint.
    Duration longestOrderLifetime = Duration(30000);
};

/// \throws FindingsError with all findings and their lines.
EntrySettings parseEntrySettings(const std::string &toml, const std::string &fileName);

/// \throws FindingsError with all findings and their lines.
AgentSettings parseAgentSettings(const std::string &toml, const std::string &fileName);

/// \brief Bootstrap operators of any settings file; findings about its other keys are not reported. \throws FindingsError
std::vector<Operator> readBootstrapOperators(const std::string &toml, const std::string &fileName);

enum class FileKind {
    Configuration,
    EntrySettings,
    AgentSettings,
};

std::string_view toString(FileKind kind);

/// \brief Checks a file: settings have the key `process`, and those of an agent the key `endpoint`.
/// \return what the file is. \throws FindingsError with all findings and their lines.
FileKind checkFile(const std::string &toml, const std::string &fileName);

} // namespace mimosatally
