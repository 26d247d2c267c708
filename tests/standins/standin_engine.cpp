#include "enginestate.h"
#include "standinserver.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <unistd.h>

using namespace mimosatally;
using namespace mimosatally::standin;
using boost::asio::awaitable;
using nlohmann::json;

namespace
{
constexpr int CRASH_EXIT_CODE = 70;
constexpr long DEFAULT_MAX_TOKENS = 16;
constexpr auto BATCH_POLL_INTERVAL = std::chrono::milliseconds(1);

/// \brief State of one completion request.
struct Generation {
    std::string id;
    json request;
    bool chat = false;
    std::string prompt;
    long maxTokens = DEFAULT_MAX_TOKENS;
    long generated = 0;
    bool cancelled = false;
    bool peerClosed = false;
    bool cutOff = false;

    [[nodiscard]] bool isStopped() const
    {
        return cancelled || peerClosed || cutOff;
    }
};

class Engine
{
public:
    Engine(boost::asio::io_context &io, const StandinOptions &options)
        : io_(io)
        , options_(options)
        , cache_(options_.cacheBlocks, options_.blockTokens, options_.eventDropInterval)
    {
    }

    awaitable<void> handle(HttpExchange &exchange)
    {
        const std::string target(exchange.request().target());
        const std::string path = pathOf(target);
        if (path == "/v1/completions" || path == "/v1/chat/completions") {
            co_await handleCompletion(exchange, path == "/v1/chat/completions");
        } else if (path == "/load") {
            co_await exchange.respond(jsonResponse(200, reportedLoad()));
        } else if (path == "/cache_events") {
            co_await exchange.respond(jsonResponse(200, cache_.eventsAfter(queryNumber(target, "after", 0))));
        } else if (path == "/orders") {
            co_await handleOrder(exchange);
        } else if (path == "/cancel") {
            co_await handleCancel(exchange);
        } else if (path == "/ledger") {
            co_await exchange.respond(jsonResponse(200, ledger_.toJson()));
        } else {
            co_await exchange.respond(errorResponse(404, "no such path"));
        }
    }

private:
    static HttpResponse errorResponse(unsigned status, const std::string &message)
    {
        return jsonResponse(status, {{"error", {{"message", message}}}});
    }

    awaitable<void> sleepFor(std::chrono::microseconds duration)
    {
        if (duration.count() > 0) {
            boost::asio::steady_timer timer(io_, duration);
            co_await timer.async_wait(boost::asio::use_awaitable);
        }
    }

    awaitable<void> handleCompletion(HttpExchange &exchange, bool chat)
    {
        const auto generation = std::make_shared<Generation>();
        std::string parseError;
        try {
            generation->request = json::parse(exchange.request().body());
            generation->prompt = enginePrompt(generation->request);
            generation->maxTokens = generation->request.value("max_tokens", DEFAULT_MAX_TOKENS);
        } catch (const json::exception &error) {
            parseError = error.what();
        }
        if (!parseError.empty() || orderRunning_) {
            co_await exchange.respond(parseError.empty() ? errorResponse(503, "an order is in progress") : errorResponse(400, parseError));
            co_return;
        }
        generation->chat = chat;
        generation->id = headerValue(exchange.request(), "X-Request-Id");
        exchange.onPeerClosed([generation] {
            generation->peerClosed = true;
        });
        co_await run(exchange, generation);
    }

    awaitable<void> run(HttpExchange &exchange, std::shared_ptr<Generation> generation)
    {
        ++waiting_;
        while (static_cast<long>(running_.size()) >= options_.batch && !generation->isStopped()) {
            co_await sleepFor(BATCH_POLL_INTERVAL);
        }
        --waiting_;
        const auto position = running_.insert(running_.end(), generation);
        ++ledger_.runs[generation->id].started;
        const bool isStream = generation->request.value("stream", false);
        std::string failure;
        try {
            co_await prefill(*generation);
            if (isStream) {
                co_await sendStreamedAnswer(exchange, *generation);
            } else {
                co_await sendPlainAnswer(exchange, *generation);
            }
        } catch (const std::exception &error) {
            failure = error.what();
            generation->peerClosed = true;
        }
        running_.erase(position);
        recordOutcome(*generation);
        if (!failure.empty() || generation->isStopped()) {
            exchange.abort();
        }
    }

    void recordOutcome(const Generation &generation)
    {
        EngineLedger::Run &run = ledger_.runs[generation.id];
        run.tokens += generation.generated;
        if (generation.cutOff) {
            ++run.cutOff;
        } else if (generation.isStopped()) {
            ++run.cancelled;
        } else {
            ++run.completed;
        }
    }

    awaitable<void> prefill(Generation &generation)
    {
        const long uncached = enginePromptTokens(generation.prompt) - cache_.storePrompt(generation.prompt);
        if (options_.prefillSpeed > 0) {
            co_await sleepFor(std::chrono::microseconds(std::max(0L, uncached) * 1000000 / options_.prefillSpeed));
        }
    }

    /// \brief Waits for the next token; the engine's decode speed is shared by the running requests.
    awaitable<void> decodeStep(Generation &generation)
    {
        if (options_.decodeSpeed > 0) {
            co_await sleepFor(std::chrono::microseconds(static_cast<long>(running_.size()) * 1000000 / options_.decodeSpeed));
        }
        ++generation.generated;
        ++totalTokens_;
        if (options_.crashAfterTokens > 0 && totalTokens_ >= options_.crashAfterTokens) {
            _exit(CRASH_EXIT_CODE);
        }
    }

    awaitable<void> sendPlainAnswer(HttpExchange &exchange, Generation &generation)
    {
        TokenGenerator generator(generation.prompt);
        std::string answer;
        for (long i = 0; i < generation.maxTokens && !generation.isStopped(); ++i) {
            co_await decodeStep(generation);
            answer += generator.nextToken();
        }
        if (!generation.isStopped()) {
            json body = makeResponseBody(generation, answer, "length");
            body["usage"] = usage(generation);
            co_await exchange.respond(jsonResponse(200, body));
        }
    }

    awaitable<void> sendStreamedAnswer(HttpExchange &exchange, Generation &generation)
    {
        co_await exchange.beginStream(makeHttpResponse(200, "text/event-stream", {}));
        TokenGenerator generator(generation.prompt);
        for (long i = 0; i < generation.maxTokens && !generation.isStopped(); ++i) {
            co_await decodeStep(generation);
            const json event = makeResponseBody(generation, generator.nextToken(), nullptr);
            co_await writeEvent(exchange, event.dump());
        }
        if (!generation.isStopped()) {
            json last = makeResponseBody(generation, "", "length");
            last["usage"] = usage(generation);
            co_await writeEvent(exchange, last.dump());
            co_await writeEvent(exchange, "[DONE]");
            co_await exchange.endStream();
        }
    }

    static awaitable<void> writeEvent(HttpExchange &exchange, std::string data)
    {
        const std::string event = "data: " + data + "\n\n";
        co_await exchange.writeChunk(event);
    }

    static json makeResponseBody(const Generation &generation, const std::string &text, const json &finishReason)
    {
        json choice = {{"index", 0}, {"finish_reason", finishReason}};
        const bool isStream = generation.request.value("stream", false);
        if (!generation.chat) {
            choice["text"] = text;
        } else if (isStream) {
            choice["delta"] = {{"content", text}};
        } else {
            choice["message"] = {{"role", "assistant"}, {"content", text}};
        }
        const char *object = generation.chat ? (isStream ? "chat.completion.chunk" : "chat.completion") : "text_completion";
        return {{"id", generation.id}, {"object", object}, {"model", generation.request.value("model", "")}, {"choices", json::array({choice})}};
    }

    static json usage(const Generation &generation)
    {
        const long prompt = enginePromptTokens(generation.prompt);
        return {{"prompt_tokens", prompt}, {"completion_tokens", generation.generated}, {"total_tokens", prompt + generation.generated}};
    }

    json currentLoad() const
    {
        return {{"running", running_.size()},
                {"waiting", waiting_},
                {"cache_blocks_free", cache_.freeBlocks()},
                {"prefill_tokens_per_second", options_.prefillSpeed},
                {"decode_tokens_per_second", options_.decodeSpeed},
                {"role", options_.role},
                {"models", options_.models},
                {"order_in_progress", orderRunning_ ? json(orderId_) : json(nullptr)},
                {"last_order", lastOrder_},
                {"epoch", highestEpoch_}};
    }

    /// \brief Load as it was at least the configured lag ago; role, models and orders are always reported without lag.
    json reportedLoad()
    {
        const Time now = MilliClock::now();
        loadHistory_.emplace_back(now, currentLoad());
        while (loadHistory_.size() > 1 && loadHistory_[1].first <= now - options_.loadLag) {
            loadHistory_.pop_front();
        }
        json report = loadHistory_.front().second;
        report["age_ms"] = (now - loadHistory_.front().first).count();
        const json current = currentLoad();
        for (const char *field : {"role", "models", "order_in_progress", "last_order", "epoch"}) {
            report[field] = current.at(field);
        }
        return report;
    }

    awaitable<void> handleOrder(HttpExchange &exchange)
    {
        const json order = json::parse(exchange.request().body());
        const long epoch = order.at("epoch").get<long>();
        json ledgerEntry = order;
        if (epoch < highestEpoch_) {
            ++ledger_.staleEpochs;
            if (options_.checksFencing) {
                ledgerEntry["result"] = "stale";
                ledger_.orders.push_back(ledgerEntry);
                co_await exchange.respond(errorResponse(409, "stale fencing token"));
                co_return;
            }
        }
        highestEpoch_ = std::max(highestEpoch_, epoch);
        if (orderRunning_) {
            ++ledger_.conflicts;
            ledgerEntry["result"] = "conflict";
            ledger_.orders.push_back(ledgerEntry);
            co_await exchange.respond(errorResponse(409, "another order is in progress"));
            co_return;
        }
        co_await executeOrder(ledgerEntry);
        const json answer = {{"id", order.at("id")}, {"epoch", highestEpoch_}};
        co_await exchange.respond(jsonResponse(200, answer));
    }

    /// \brief Executes an order; a change of role or model cuts off the running requests, as the restart of a real engine would.
    awaitable<void> executeOrder(json ledgerEntry)
    {
        orderRunning_ = true;
        orderId_ = ledgerEntry.at("id").get<std::string>();
        const std::string kind = ledgerEntry.at("kind").get<std::string>();
        const bool interrupts = !kind.ends_with("Adapter");
        for (const auto &generation : running_) {
            generation->cutOff = generation->cutOff || interrupts;
        }
        if (options_.crashInOrder) {
            _exit(CRASH_EXIT_CODE);
        }
        co_await sleepFor(options_.orderTime);
        const std::string argument = ledgerEntry.at("argument").get<std::string>();
        if (kind == "changeRole") {
            options_.role = argument;
        } else if (kind == "loadModel" || kind == "loadAdapter") {
            options_.models.insert(argument);
        } else if (kind == "unloadModel" || kind == "unloadAdapter") {
            options_.models.erase(argument);
        }
        orderRunning_ = false;
        lastOrder_ = orderId_;
        ledgerEntry["result"] = "done";
        ledger_.orders.push_back(ledgerEntry);
    }

    awaitable<void> handleCancel(HttpExchange &exchange)
    {
        const std::string id = json::parse(exchange.request().body()).at("request").get<std::string>();
        bool found = false;
        for (const auto &generation : running_) {
            if (generation->id == id) {
                generation->cancelled = true;
                found = true;
            }
        }
        const json answer = {{"cancelled", found}};
        co_await exchange.respond(jsonResponse(200, answer));
    }

    boost::asio::io_context &io_;
    EngineOptions options_;
    EngineCache cache_;
    EngineLedger ledger_;
    std::list<std::shared_ptr<Generation>> running_;
    std::deque<std::pair<Time, json>> loadHistory_;
    long waiting_ = 0;
    long totalTokens_ = 0;
    long highestEpoch_ = -1;
    bool orderRunning_ = false;
    std::string orderId_;
    std::string lastOrder_;
};
} // namespace

int main(int argc, char **argv)
{
    const StandinOptions options(argc, argv);
    boost::asio::io_context io;
    Engine engine(io, options);
    return serveUntilSignal(io, options, [&engine](HttpExchange &exchange) {
        return engine.handle(exchange);
    });
}
