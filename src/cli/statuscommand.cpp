#include "logsession.h"

#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>

namespace mimosatally::internal
{

using boost::asio::awaitable;

namespace
{
using Json = nlohmann::json;

constexpr Duration REQUEST_TIMEOUT(5000);

std::string cellText(const Json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end() || found->is_null()) {
        return "-";
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

/// \brief Prints one table; each column is as wide as its widest cell.
void printTable(const Json &rows, const std::vector<const char *> &columns)
{
    std::vector<std::size_t> widths;
    for (const char *column : columns) {
        std::size_t width = std::string_view(column).size();
        for (const Json &row : rows) {
            width = std::max(width, cellText(row, column).size());
        }
        widths.push_back(width);
    }
    for (std::size_t i = 0; i < columns.size(); ++i) {
        std::cout << std::left << std::setw(static_cast<int>(widths[i])) << columns[i] << "  ";
    }
    std::cout << '\n';
    for (const Json &row : rows) {
        for (std::size_t i = 0; i < columns.size(); ++i) {
            std::cout << std::left << std::setw(static_cast<int>(widths[i])) << cellText(row, columns[i]) << "  ";
        }
        std::cout << '\n';
    }
}

void printStatus(const Json &status)
{
    const Json configuration = status.value("configuration", Json::object());
    std::cout << "process " << cellText(status, "process") << ", configuration version " << cellText(configuration, "version") << ", confirmed "
              << cellText(configuration, "confirmed") << ", leaving " << cellText(status, "leaving") << "\n\n";
    printTable(status.value("endpoints", Json::array()),
               {"id", "instance", "region", "data_centre", "kind", "state", "role", "waiting_requests", "running_requests", "last_exchange_age_ms"});
    std::cout << '\n';
    printTable(status.value("customers", Json::array()), {"id", "answered", "refused"});
}

std::string apiKey(const Arguments &arguments)
{
    const std::string file = stringArgument(arguments, "--key-file");
    if (file.empty()) {
        return stringArgument(arguments, "--key");
    }
    const Json json = Json::parse(readFile(file), nullptr, false);
    if (!json.is_object() || !json.contains("api_key")) {
        throw UsageError(file + " has no API key; `mimosatally key new --out FILE` makes one");
    }
    return json["api_key"].get<std::string>();
}

awaitable<int> fetchStatus(boost::asio::io_context &io, const Arguments &arguments)
{
    HttpClient client(io, parseAddress(stringArgument(arguments, "--entry")));
    HttpRequest request = makeHttpRequest(boost::beast::http::verb::get, "/operator/v1/status");
    request.set(boost::beast::http::field::authorization, "Bearer " + apiKey(arguments));
    const HttpResponse response = co_await client.send(std::move(request), REQUEST_TIMEOUT);
    if (response.result() == boost::beast::http::status::unauthorized) {
        std::cerr << "The entry does not know this key; use the API key of an operator of the current configuration.\n";
        co_return ExitCode::Negative;
    }
    const Json status = Json::parse(response.body(), nullptr, false);
    if (response.result() != boost::beast::http::status::ok || !status.is_object()) {
        throw UnreachableError("the entry returned status " + std::to_string(response.result_int()));
    }
    if (arguments.at("--json").asBool()) {
        std::cout << response.body() << '\n';
    } else {
        printStatus(status);
    }
    co_return ExitCode::Success;
}

int status(const Arguments &arguments)
{
    boost::asio::io_context io;
    return runToEnd(io, fetchStatus(io, arguments));
}
} // namespace

const Command STATUS_COMMAND = {"status",
                                R"(Shows the fleet as one entry sees it.

Usage: mimosatally status --entry=ADDR (--key=KEY | --key-file=FILE) [--json]
       mimosatally status --help

Options:
  --entry=ADDR     HTTP address of an entry, IP:PORT.
  --key=KEY        API key of an operator. Other users of the machine can see it; prefer --key-file.
  --key-file=FILE  Key file made by `mimosatally key new --out FILE`.
  --json           Print the entry's JSON as it is.
)",
                                status};

} // namespace mimosatally::internal
