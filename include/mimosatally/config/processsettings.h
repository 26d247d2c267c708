#pragma once

#include "configuration.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mimosatally
{

/// \brief Limits of an HTTP server.
struct HttpSettings {
    std::size_t maxHeaderBytes = 16'384;
    std::size_t maxBodyBytes = 8'388'608;
    std::size_t maxConnections = 4096;
    /// \brief Timeout for a complete request after its first byte, and for each write to the caller.
    Duration transferTimeout = Duration(15000);
    /// \brief Timeout for a connection without a request.
    Duration idleTimeout = Duration(60000);
};

/// \brief Settings common to all processes. Addresses have the form `ip:port` and are validated when the file is parsed.
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
    HttpSettings http;
    LogLevel logLevel = LogLevel::Info;
    /// \brief Seed of all random number generators; 0 takes a seed from the system.
    std::uint64_t seed = 0;
    /// \brief Number of records after the last snapshot at which an entry writes a new snapshot of the configuration; 0 disables
    /// snapshots.
    std::int64_t snapshotEvery = 256;
    /// \brief Age of the last snapshot at which an entry writes a new one. Set it to less than half of the log's retention time.
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
    /// \brief Limits on the number of requests that wait or run at the agent, and on the total size of their bodies.
    std::size_t maxQueuedRequests = 4096;
    std::size_t maxQueuedBytes = 8'388'608;
    /// \brief Maximum lifetime of orders; must be the same for every agent process of the endpoint.
    Duration longestOrderLifetime = Duration(30000);
};

/// \throws FindingsError with all findings and their lines.
EntrySettings parseEntrySettings(const std::string &toml, const std::string &fileName);

/// \throws FindingsError with all findings and their lines.
AgentSettings parseAgentSettings(const std::string &toml, const std::string &fileName);

/// \brief Reads the bootstrap operators of a settings file of any kind; findings about other keys are not reported.
/// \throws FindingsError
std::vector<Operator> readBootstrapOperators(const std::string &toml, const std::string &fileName);

enum class FileKind {
    Configuration,
    EntrySettings,
    AgentSettings,
};

std::string_view toString(FileKind kind);

/// \brief Checks a file and detects its kind: settings have the key `process`, and those of an agent the key `endpoint`.
/// \return the kind of the file. \throws FindingsError with all findings and their lines.
FileKind checkFile(const std::string &toml, const std::string &fileName);

} // namespace mimosatally
