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
constexpr auto BATCH_POLL = std::chrono::milliseconds(1);

/// \brief One completion while it is generated.
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

    [[nodiscard]] bool stopped() const
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
        , cache_(options_.cacheBlocks, options_.blockTokens, options_.dropEveryEvent)
    {
    }

    awaitable<void> handle(HttpExchange &exchange)
    {
        const std::string target(exchange.request().target());
        const std::string path = pathOf(target);
        if (path == "/v1/completions" || path == "/v1/chat/completions") {
            co_await complete(exchange, path == "/v1/chat/completions");
        } else if (path == "/load") {
            co_await exchange.respond(jsonResponse(200, reportedLoad()));
        } else if (path == "/cache_events") {
            co_await exchange.respond(jsonResponse(200, cache_.eventsAfter(queryNumber(target, "after", 0))));
        } else if (path == "/orders") {
            co_await order(exchange);
        } else if (path == "/cancel") {
            co_await cancel(exchange);
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

    awaitable<void> sleep(std::chrono::microseconds time)
    {
        if (time.count() > 0) {
            boost::asio::steady_timer timer(io_, time);
            co_await timer.async_wait(boost::asio::use_awaitable);
        }
    }

    awaitable<void> complete(HttpExchange &exchange, bool chat)
    {
        const auto generation = std::make_shared<Generation>();
        std::string problem;
        try {
            generation->request = json::parse(exchange.request().body());
            generation->prompt = enginePrompt(generation->request);
            generation->maxTokens = generation->request.value("max_tokens", DEFAULT_MAX_TOKENS);
        } catch (const json::exception &error) {
            problem = error.what();
        }
        if (!problem.empty() || orderRunning_) {
            co_await exchange.respond(problem.empty() ? errorResponse(503, "an order is in progress") : errorResponse(400, problem));
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
        while (static_cast<long>(running_.size()) >= options_.batch && !generation->stopped()) {
            co_await sleep(BATCH_POLL);
        }
        --waiting_;
        const auto place = running_.insert(running_.end(), generation);
        ++ledger_.runs[generation->id].started;
        const bool streams = generation->request.value("stream", false);
        std::string failure;
        try {
            co_await prefill(*generation);
            if (streams) {
                co_await streamAnswer(exchange, *generation);
            } else {
                co_await plainAnswer(exchange, *generation);
            }
        } catch (const std::exception &error) {
            failure = error.what();
            generation->peerClosed = true;
        }
        running_.erase(place);
        record(*generation);
        if (!failure.empty() || generation->stopped()) {
            exchange.abort();
        }
    }

    void record(const Generation &generation)
    {
        EngineLedger::Run &run = ledger_.runs[generation.id];
        run.tokens += generation.generated;
        if (generation.cutOff) {
            ++run.cutOff;
        } else if (generation.stopped()) {
            ++run.cancelled;
        } else {
            ++run.completed;
        }
    }

    awaitable<void> prefill(Generation &generation)
    {
        const long uncached = enginePromptTokens(generation.prompt) - cache_.use(generation.prompt);
        if (options_.prefillSpeed > 0) {
            co_await sleep(std::chrono::microseconds(std::max(0L, uncached) * 1000000 / options_.prefillSpeed));
        }
    }

    /// \brief Waits for the next token; the engine's decode speed is shared by the running requests.
    awaitable<void> decodeStep(Generation &generation)
    {
        if (options_.decodeSpeed > 0) {
            co_await sleep(std::chrono::microseconds(static_cast<long>(running_.size()) * 1000000 / options_.decodeSpeed));
        }
        ++generation.generated;
        ++totalTokens_;
        if (options_.crashAfterTokens > 0 && totalTokens_ >= options_.crashAfterTokens) {
            _exit(CRASH_EXIT_CODE);
        }
    }

    awaitable<void> plainAnswer(HttpExchange &exchange, Generation &generation)
    {
        EngineText text(generation.prompt);
        std::string answer;
        for (long i = 0; i < generation.maxTokens && !generation.stopped(); ++i) {
            co_await decodeStep(generation);
            answer += text.nextToken();
        }
        if (!generation.stopped()) {
            json body = envelope(generation, answer, "length");
            body["usage"] = usage(generation);
            co_await exchange.respond(jsonResponse(200, body));
        }
    }

    awaitable<void> streamAnswer(HttpExchange &exchange, Generation &generation)
    {
        co_await exchange.beginStream(makeHttpResponse(200, "text/event-stream", {}));
        EngineText text(generation.prompt);
        for (long i = 0; i < generation.maxTokens && !generation.stopped(); ++i) {
            co_await decodeStep(generation);
            const json event = envelope(generation, text.nextToken(), nullptr);
            co_await writeEvent(exchange, event.dump());
        }
        if (!generation.stopped()) {
            json last = envelope(generation, "", "length");
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

    static json envelope(const Generation &generation, const std::string &text, const json &finishReason)
    {
        json choice = {{"index", 0}, {"finish_reason", finishReason}};
        const bool streams = generation.request.value("stream", false);
        if (!generation.chat) {
            choice["text"] = text;
        } else if (streams) {
            choice["delta"] = {{"content", text}};
        } else {
            choice["message"] = {{"role", "assistant"}, {"content", text}};
        }
        const char *object = generation.chat ? (streams ? "chat.completion.chunk" : "chat.completion") : "text_completion";
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

    /// \brief The load as of at least the configured lag ago; the orders are always reported as they are.
    json reportedLoad()
    {
        const Time now = MilliClock::now();
        reports_.emplace_back(now, currentLoad());
        while (reports_.size() > 1 && reports_[1].first <= now - options_.loadLag) {
            reports_.pop_front();
        }
        json report = reports_.front().second;
        report["age_ms"] = (now - reports_.front().first).count();
        const json current = currentLoad();
        for (const char *field : {"role", "models", "order_in_progress", "last_order", "epoch"}) {
            report[field] = current.at(field);
        }
        return report;
    }

    awaitable<void> order(HttpExchange &exchange)
    {
        const json order = json::parse(exchange.request().body());
        const long epoch = order.at("epoch").get<long>();
        json entry = order;
        if (epoch < highestEpoch_) {
            ++ledger_.staleEpochs;
            if (options_.checksFencing) {
                entry["result"] = "stale";
                ledger_.orders.push_back(entry);
                co_await exchange.respond(errorResponse(409, "stale fencing token"));
                co_return;
            }
        }
        highestEpoch_ = std::max(highestEpoch_, epoch);
        if (orderRunning_) {
            ++ledger_.conflicts;
            entry["result"] = "conflict";
            ledger_.orders.push_back(entry);
            co_await exchange.respond(errorResponse(409, "another order is in progress"));
            co_return;
        }
        co_await execute(entry);
        const json done = {{"id", order.at("id")}, {"epoch", highestEpoch_}};
        co_await exchange.respond(jsonResponse(200, done));
    }

    /// \brief Carries out an order; a change of role or model cuts off what still runs, as a real engine's restart would.
    awaitable<void> execute(json entry)
    {
        orderRunning_ = true;
        orderId_ = entry.at("id").get<std::string>();
        const std::string kind = entry.at("kind").get<std::string>();
        const bool interrupts = !kind.ends_with("Adapter");
        for (const auto &generation : running_) {
            generation->cutOff = generation->cutOff || interrupts;
        }
        if (options_.crashInOrder) {
            _exit(CRASH_EXIT_CODE);
        }
        co_await sleep(options_.orderTime);
        const std::string argument = entry.at("argument").get<std::string>();
        if (kind == "changeRole") {
            options_.role = argument;
        } else if (kind == "loadModel" || kind == "loadAdapter") {
            options_.models.insert(argument);
        } else if (kind == "unloadModel" || kind == "unloadAdapter") {
            options_.models.erase(argument);
        }
        orderRunning_ = false;
        lastOrder_ = orderId_;
        entry["result"] = "done";
        ledger_.orders.push_back(entry);
    }

    awaitable<void> cancel(HttpExchange &exchange)
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
    std::deque<std::pair<Time, json>> reports_;
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
