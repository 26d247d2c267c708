#pragma once

#include "net.h"

#include <atomic>
#include <csignal>
#include <fcntl.h>
#include <mutex>
#include <sstream>
#include <string>
#include <vector>

namespace review
{

/// \brief Part of a prompt (X-Mimosatally-Prefix-Hash) that crashes each worker that begins to write an answer on it.
constexpr const char *CRASHING_PART = "dead";

/// \brief What a worker process is told on its command line, as NAME=VALUE.
struct WorkerOptions {
    std::string id;
    Address address;
    /// \brief `prefill` or `decode` for a model worker; empty for a plain service.
    std::string phase;
    /// \brief File to which the worker appends a line for each thing it does.
    std::string log;
    /// \brief Streams are sent with neither a length nor chunks and end with their channel.
    bool unframed = false;
    /// \brief Pause between two events of a stream.
    Milliseconds gap = Milliseconds(50);
    /// \brief From SIGUSR1 on: answers to generations are bytes without end that are no chunk.
    bool floods = false;
    /// \brief Bytes per second that the worker's link carries.
    std::size_t linkBytesPerSecond = 100'000'000;
    /// \brief Events that are written before the process ends on CRASHING_PART.
    int crashEvents = 0;
    /// \brief From SIGUSR1 on: the next request is turned away with this `Retry-After` in seconds; 0 turns none away.
    int retryAfterSeconds = 0;

    static WorkerOptions parse(const std::vector<std::string> &arguments)
    {
        std::map<std::string, std::string> values;
        for (const std::string &argument : arguments) {
            const std::size_t equals = argument.find('=');
            values[argument.substr(0, equals)] = equals == std::string::npos ? std::string() : argument.substr(equals + 1);
        }
        const auto number = [&values](const std::string &name, long defaultValue) {
            return values.contains(name) ? std::strtol(values[name].c_str(), nullptr, 10) : defaultValue;
        };
        WorkerOptions options;
        options.id = values["id"];
        options.address = {values["host"], static_cast<std::uint16_t>(number("port", 0))};
        options.phase = values["phase"];
        options.log = values["log"];
        options.unframed = number("unframed", 0) != 0;
        options.gap = Milliseconds(number("gap", options.gap.count()));
        options.floods = number("floods", 0) != 0;
        options.crashEvents = static_cast<int>(number("crash_events", 0));
        options.retryAfterSeconds = static_cast<int>(number("retry_after", 0));
        return options;
    }
};

/// \brief A worker of a model or of a plain service, as PROTOCOL.md describes it.
///
/// SIGUSR1 begins the trouble of the options, or, without any, a planned leave: from then on each answer says `Server-Leaving: 1`.
class Worker
{
public:
    explicit Worker(WorkerOptions options)
        : options_(std::move(options))
        , log_(open(options_.log.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0600))
        , prefills_(options_.phase == "prefill")
    {
    }

    /// \brief Serves until the process is killed. \return the exit status if it cannot.
    int run()
    {
        std::signal(SIGUSR1, [](int) {
            signalled() = true;
        });
        const Listener listener(options_.address);
        if (listener.port() == 0) {
            return 2;
        }
        write("started");
        listener.serve([this](Connection &connection) {
            while (serveRequest(connection)) {
            }
        });
        return 0;
    }

private:
    struct Call {
        HttpHead head;
        std::string body;

        [[nodiscard]] std::string id() const
        {
            return head.field("x-mimosatally-request-id");
        }

        [[nodiscard]] bool hasCrashingPart() const
        {
            const std::string parts = ',' + head.field("x-mimosatally-prefix-hash");
            return parts.find(std::string(",") + CRASHING_PART + ':') != std::string::npos;
        }

        /// \brief Largest number of events, which is the second of the token counts.
        [[nodiscard]] int events() const
        {
            const std::string counts = head.field("x-mimosatally-token-counts");
            return std::atoi(counts.substr(counts.find(',') + 1).c_str());
        }
    };

    static std::atomic<bool> &signalled()
    {
        static std::atomic<bool> flag = false;
        return flag;
    }

    [[nodiscard]] bool isLeaving() const
    {
        return signalled() && !options_.floods && options_.retryAfterSeconds == 0;
    }

    /// \brief Appends a line to the log with one write, so that a kill loses none.
    void write(const std::string &text) const
    {
        const std::string line = std::to_string(nowMs()) + ' ' + options_.id + ' ' + text + '\n';
        [[maybe_unused]] const ssize_t count = ::write(log_, line.data(), line.size());
    }

    [[nodiscard]] std::string head(const Call &call, int status, const std::string &fields) const
    {
        return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Mimosatally-Request-Id: " + call.id() + "\r\n" + (isLeaving() ? "Server-Leaving: 1\r\n" : "")
               + fields;
    }

    [[nodiscard]] std::string whole(const Call &call, int status, const std::string &fields, const std::string &body) const
    {
        return head(call, status, fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n") + body;
    }

    static std::string seal(const Call &call)
    {
        return "X-Mimosatally-Response-Seal: seal-" + call.id() + "\r\n";
    }

    bool serveRequest(Connection &connection)
    {
        Call call;
        const std::optional<HttpHead> request = connection.readHead(Milliseconds(600'000));
        if (!request) {
            return false;
        }
        call.head = *request;
        const std::size_t length = std::strtoul(call.head.field("content-length").c_str(), nullptr, 10);
        const std::optional<std::string> body = connection.readBytes(length, Milliseconds(10'000));
        if (!body) {
            return false;
        }
        call.body = *body;
        const std::string target = call.head.word(1);
        const std::string expected = call.head.field("x-mimosatally-target-instance");
        if (!expected.empty() && expected != options_.id) {
            return connection.send(whole(call, 421, "X-Mimosatally-Instance-Id: " + options_.id + "\r\n", ""));
        }
        if (target == "/-/report") {
            return connection.send(whole(call, 200, "Content-Type: application/json\r\n", report()));
        }
        if (target == "/-/order") {
            return connection.send(whole(call, order(call.body), "Content-Type: application/json\r\n", "{}"));
        }
        if (target == "/health" || target.starts_with("/-/kv-handle/")) {
            return connection.send(whole(call, 200, "X-Mimosatally-Instance-Id: " + options_.id + "\r\n", ""));
        }
        write("received " + call.id() + ' ' + target + (call.hasCrashingPart() ? " crashing-part" : ""));
        if (options_.retryAfterSeconds > 0 && signalled() && !turnedAway_.exchange(true)) {
            write("turned-away " + call.id());
            return connection.send(
                whole(call, 503, "X-Mimosatally-Not-Executed: 1\r\nRetry-After: " + std::to_string(options_.retryAfterSeconds) + "\r\n", ""));
        }
        if (options_.phase.empty()) {
            pauseFor(Milliseconds(30));
            write("ran " + call.id());
            return connection.send(whole(call, 200, seal(call), std::string(800, 'x')));
        }
        return serveGeneration(connection, call);
    }

    bool serveGeneration(Connection &connection, const Call &call)
    {
        const bool prefillOnly = call.head.field("x-mimosatally-serving-stage") == "prefill";
        if (prefillOnly != prefills_ || changing_) {
            return connection.send(whole(call, changing_ ? 503 : 421, "X-Mimosatally-Not-Executed: 1\r\n", ""));
        }
        pauseFor(Milliseconds(10));
        if (prefillOnly) {
            const std::string handle = R"({"kvHandle":")" + options_.id + '-' + std::to_string(++handles_) + R"(","tokens":100,"version":1})";
            return connection.send(whole(call, 200, "Content-Type: application/json\r\n", handle));
        }
        if (options_.floods && signalled()) {
            write("flooded " + call.id());
            return flood(connection, call);
        }
        return stream(connection, call);
    }

    /// \brief Sends a head and then, where the length of a chunk is due, bytes without end until the caller closes. All floods share the worker's link.
    bool flood(Connection &connection, const Call &call)
    {
        static std::mutex link;
        if (!connection.send(head(call, 200, seal(call) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))) {
            return false;
        }
        const std::string bytes(std::size_t(64) * 1024, 'x');
        const auto interval = std::chrono::microseconds(bytes.size() * 1'000'000 / options_.linkBytesPerSecond);
        bool open = true;
        while (open && !connection.peerClosed()) {
            {
                const std::lock_guard lock(link);
                std::this_thread::sleep_for(interval);
            }
            open = connection.send(bytes);
        }
        return false;
    }

    bool stream(Connection &connection, const Call &call)
    {
        const int first = std::atoi(call.head.field("last-event-id").c_str()) + 1;
        const int last = call.events();
        const bool crashes = call.hasCrashingPart();
        const std::string framing = options_.unframed ? "Connection: close\r\n\r\n" : "Transfer-Encoding: chunked\r\n\r\n";
        write("ran " + call.id());
        bool open = connection.send(head(call, 200, seal(call) + "Content-Type: text/event-stream\r\n" + framing));
        for (int event = first; open && event <= last; ++event) {
            if (crashes && event - first == options_.crashEvents) {
                write("crashed " + call.id());
                _exit(1);
            }
            const std::string data = "id: " + std::to_string(event) + "\ndata: token\n\n";
            std::ostringstream size;
            size << std::hex << data.size();
            open = connection.send(options_.unframed ? data : size.str() + "\r\n" + data + "\r\n") && !connection.peerClosed();
            if (event < last) {
                pauseFor(options_.gap);
            }
        }
        if (!open) {
            return false;
        }
        write("completed " + call.id());
        return !options_.unframed && connection.send("0\r\n\r\n");
    }

    std::string report() const
    {
        return std::string(R"({"phase":")") + (prefills_ ? "prefill" : "decode") + R"(","models":[{"name":"m","version":1,"adapters":[]}],"busy":)"
               + (changing_ ? "true" : "false") + R"(,"seqNum":)" + std::to_string(orders_)
               + R"(,"queued":0,"active":0,"kvUsed":0,"kvTotal":1529843,"kvHandles":0})";
    }

    /// \brief Carries out an order to change the phase. \return the status of the answer.
    int order(const std::string &body)
    {
        const bool toPrefill = body.find(R"("phase":"prefill")") != std::string::npos;
        const std::string precondition = R"("precondition":)" + std::to_string(orders_);
        if (changing_ || body.find(precondition) == std::string::npos) {
            return 409;
        }
        if (toPrefill == prefills_) {
            return 200;
        }
        ++orders_;
        changing_ = true;
        std::thread([this, toPrefill] {
            pauseFor(Milliseconds(3000));
            prefills_ = toPrefill;
            changing_ = false;
            write(std::string("phase ") + (toPrefill ? "prefill" : "decode"));
        }).detach();
        return 202;
    }

    WorkerOptions options_;
    int log_;
    std::atomic<bool> prefills_;
    std::atomic<bool> changing_ = false;
    std::atomic<int> orders_ = 0;
    std::atomic<int> handles_ = 0;
    std::atomic<bool> turnedAway_ = false;
};

} // namespace review
