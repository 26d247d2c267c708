#pragma once

#include "call.h"
#include "callrefusal.h"
#include "entrystate.h"

#include <mimosatally/Http>

namespace mimosatally::internal
{

/// \brief The HTTP API of an entry (docs/design.md, section 3.5).
class HttpApi
{
public:
    explicit HttpApi(EntryState &entry);

    boost::asio::awaitable<void> handle(HttpExchange &exchange);

private:
    boost::asio::awaitable<void> dispatch(HttpExchange &exchange, std::string_view path);
    boost::asio::awaitable<void> serveCustomer(HttpExchange &exchange, std::string_view path);
    boost::asio::awaitable<void> serveCall(HttpExchange &exchange, std::string_view path, RequestId request, CustomerId customer);
    boost::asio::awaitable<void> serveModels(HttpExchange &exchange, RequestId request, CustomerId customer);
    boost::asio::awaitable<void> serveStatus(HttpExchange &exchange);
    boost::asio::awaitable<void> serveReadiness(HttpExchange &exchange);
    boost::asio::awaitable<void> refuse(HttpExchange &exchange, const CallRefusal &refusal, RequestId request, CustomerId customer);

    /// \brief Reads and checks the call of a customer. \throws CallRefusedError
    [[nodiscard]] Call readCall(const HttpExchange &exchange, std::string_view path, const CustomerId &customer) const;
    /// \throws CallRefusedError if the configuration does not allow new work.
    void checkConfiguration() const;

    EntryState &entry_;
};

} // namespace mimosatally::internal
