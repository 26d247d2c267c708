#include "logsession.h"

#include <boost/lexical_cast/try_lexical_convert.hpp>
#include <iostream>
#include <optional>

namespace mimosatally::internal
{

using boost::asio::awaitable;

namespace
{
/// \brief A document is published as a change to the current one if that has less than 1 / CHANGE_SIZE_DIVISOR of its size.
constexpr std::size_t CHANGE_SIZE_DIVISOR = 2;

RecordId recordId(const Arguments &arguments)
{
    const std::string id = stringArgument(arguments, "--id");
    return RecordId(id.empty() ? newUniqueId() : id);
}

std::optional<Offset> baseArgument(const Arguments &arguments)
{
    const std::string text = stringArgument(arguments, "--base");
    std::int64_t base = 0;
    if (text.empty()) {
        return std::nullopt;
    }
    if (!boost::conversion::try_lexical_convert(text, base)) {
        throw UsageError("--base must be the offset of the publish record to replace, or -1 for the first");
    }
    return Offset(base);
}

struct Document {
    DocumentKind kind;
    std::string text;
};

Document chooseDocument(const ConfigurationState &state, const Configuration &next, std::string fullText)
{
    std::string change = formatChange(state.configuration, next);
    if (state.documentOffset >= Offset(0) && change.size() * CHANGE_SIZE_DIVISOR < fullText.size()) {
        return {DocumentKind::Change, std::move(change)};
    }
    return {DocumentKind::Full, std::move(fullText)};
}

awaitable<int> publishDocument(LogSession &session, const Arguments &arguments, const Signer &signer)
{
    const std::string file = stringArgument(arguments, "FILE");
    std::string text = readFile(file);
    const Configuration next = parseConfiguration(text, file);
    std::cerr << file << ": without findings\n";
    co_await session.catchUp();
    const ConfigurationState &state = session.state();
    const Offset base = baseArgument(arguments).value_or(state.documentOffset);
    std::cerr << "current version " << state.version.count() << ", base " << base.count() << '\n';
    if (base == state.documentOffset && base >= Offset(0) && formatChange(state.configuration, next).empty()) {
        std::cout << "unchanged: the file is the current configuration, version " << state.version.count() << '\n';
        co_return ExitCode::Success;
    }
    const RecordId id = recordId(arguments);
    const Document document = chooseDocument(state, next, std::move(text));
    std::cerr << "publishing " << document.text.size() << " bytes as record of kind " << toString(document.kind) << '\n';
    std::string payload = makePublishRecord(id, base, signer.id, document.text, signer.privateKey, document.kind);
    const int code = co_await session.appendAndAwaitVerdict(id, std::move(payload));
    co_return code;
}

int publish(const Arguments &arguments)
{
    const Signer signer = readSigner(arguments);
    boost::asio::io_context io;
    LogSession session(io, stringArgument(arguments, "--log"), signer.bootstrapOperators);
    return runToEnd(io, publishDocument(session, arguments, signer));
}

awaitable<int> changeInstance(LogSession &session, const Arguments &arguments, const Signer &signer, InstanceAction action)
{
    co_await session.catchUp();
    const RecordId id = recordId(arguments);
    std::string payload = makeInstanceRecord(id, action, InstanceId(stringArgument(arguments, "INSTANCE")), signer.id, signer.privateKey);
    const int code = co_await session.appendAndAwaitVerdict(id, std::move(payload));
    co_return code;
}

template<InstanceAction ACTION>
int runInstanceCommand(const Arguments &arguments)
{
    const Signer signer = readSigner(arguments);
    boost::asio::io_context io;
    LogSession session(io, stringArgument(arguments, "--log"), signer.bootstrapOperators);
    return runToEnd(io, changeInstance(session, arguments, signer, ACTION));
}
constexpr const char *SIGNER_OPTIONS = R"(  --log=ADDR       Address of the log service, IP:PORT.
  --operator=ID    Operator that signs the record.
  --key=FILE       Key file made by `mimosatally key new --out FILE`.
  --id=ID          Id of a record whose verdict was unknown; a record is not accepted twice under one id.
  --settings=FILE  Settings file of a process, for the bootstrap operators; needed if another operator signed the first
                   configuration and its record is still in the log.

Exit codes: 0 accepted, 1 void or findings, 2 usage, 3 nothing was appended, 4 verdict unknown.
)";
} // namespace

const Command PUBLISH_COMMAND = {"publish",
                                 std::string(R"(Checks a configuration, appends it to the log, reads it back and prints the verdict.

Usage: mimosatally publish FILE --log=ADDR --operator=ID --key=FILE [--base=OFFSET] [--id=ID] [--settings=FILE]
       mimosatally publish --help

Options:
  --base=OFFSET    Offset of the publish record whose document it replaces; without it, the last accepted one.
)") + SIGNER_OPTIONS,
                                 publish};

const Command DRAIN_COMMAND = {"drain",
                               std::string(R"(Asks an instance to finish its work and receive no new work.

Usage: mimosatally drain INSTANCE --log=ADDR --operator=ID --key=FILE [--id=ID] [--settings=FILE]
       mimosatally drain --help

Options:
)") + SIGNER_OPTIONS,
                               runInstanceCommand<InstanceAction::Drain>};

const Command REPLACE_COMMAND = {"replace",
                                 std::string(R"(Takes a drained instance back into service after it was replaced.

Usage: mimosatally replace INSTANCE --log=ADDR --operator=ID --key=FILE [--id=ID] [--settings=FILE]
       mimosatally replace --help

Options:
)") + SIGNER_OPTIONS,
                                 runInstanceCommand<InstanceAction::Replace>};

const Command WITHDRAW_COMMAND = {"withdraw",
                                  std::string(R"(Asks an instance to finish its work; its name cannot return until a configuration without it was published.

Usage: mimosatally withdraw INSTANCE --log=ADDR --operator=ID --key=FILE [--id=ID] [--settings=FILE]
       mimosatally withdraw --help

Options:
)") + SIGNER_OPTIONS,
                                  runInstanceCommand<InstanceAction::Withdraw>};

} // namespace mimosatally::internal
