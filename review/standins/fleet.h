#pragma once

#include "store.h"
#include "worker.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <fstream>
#include <future>
#include <iostream>
#include <list>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <vector>

namespace review
{

constexpr int RULE_HELD = 0;
constexpr int RULE_BROKEN = 1;
constexpr int CANNOT_RUN = 2;

/// \brief File with what was sent, answered and run; times are in milliseconds since the start.
class Record
{
public:
    explicit Record(const std::string &path)
        : file_(path, std::ios::trunc)
        , start_(nowMs())
    {
    }

    void write(const std::string &text, std::int64_t time = nowMs())
    {
        const std::lock_guard lock(mutex_);
        file_ << time - start_ << ' ' << text << '\n' << std::flush;
    }

    [[nodiscard]] std::int64_t start() const
    {
        return start_;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
    std::int64_t start_;
};

/// \brief Starts all child processes on one thread that lasts as long as this process: the kernel ends a child with the thread that started it.
class Spawner
{
public:
    static pid_t start(std::function<void()> childMain)
    {
        // Lasts until the end of the process, like its thread.
        static Spawner &spawner = *new Spawner;
        std::packaged_task<pid_t()> task([childMain = std::move(childMain)] {
            const pid_t id = fork();
            if (id == 0) {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                childMain();
                _exit(127);
            }
            return id;
        });
        std::future<pid_t> id = task.get_future();
        {
            const std::lock_guard lock(spawner.mutex_);
            spawner.tasks_.push_back(std::move(task));
        }
        spawner.added_.notify_one();
        return id.get();
    }

private:
    Spawner()
    {
        std::thread([this] {
            std::unique_lock lock(mutex_);
            for (;;) {
                added_.wait(lock, [this] {
                    return !tasks_.empty();
                });
                tasks_.front()();
                tasks_.pop_front();
            }
        }).detach();
    }

    std::mutex mutex_;
    std::condition_variable added_;
    std::list<std::packaged_task<pid_t()>> tasks_;
};

/// \brief Child process, which ends with this process at the latest.
class Child
{
public:
    Child(const std::vector<std::string> &command, const std::vector<std::string> &environment, const std::string &output)
    {
        std::vector<char *> arguments;
        arguments.reserve(command.size() + 1);
        for (const std::string &word : command) {
            arguments.push_back(const_cast<char *>(word.c_str()));
        }
        arguments.push_back(nullptr);
        std::vector<char *> variables;
        variables.reserve(environment.size() + 1);
        for (const std::string &variable : environment) {
            variables.push_back(const_cast<char *>(variable.c_str()));
        }
        variables.push_back(nullptr);
        id_ = Spawner::start([&] {
            const int file = open(output.c_str(), O_WRONLY | O_APPEND | O_CREAT, 0600);
            dup2(file, STDOUT_FILENO);
            dup2(file, STDERR_FILENO);
            execve(arguments[0], arguments.data(), variables.data());
        });
    }

    ~Child()
    {
        end(SIGKILL);
    }

    Child(const Child &) = delete;
    Child &operator=(const Child &) = delete;

    [[nodiscard]] pid_t id() const
    {
        return id_;
    }

    /// \brief Returns whether the process still runs.
    bool runs()
    {
        if (!ended_ && waitpid(id_, nullptr, WNOHANG) == id_) {
            ended_ = true;
        }
        return !ended_;
    }

    void signal(int number)
    {
        if (runs()) {
            kill(id_, number);
        }
    }

    /// \brief Sends a signal and waits for the end of the process.
    void end(int number)
    {
        signal(number);
        if (!ended_) {
            waitpid(id_, nullptr, 0);
            ended_ = true;
        }
    }

    /// \brief Memory that the process occupies, in megabytes.
    [[nodiscard]] std::size_t memoryMb() const
    {
        std::ifstream status("/proc/" + std::to_string(id_) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmRSS:")) {
                return std::strtoul(line.c_str() + 6, nullptr, 10) / 1024;
            }
        }
        return 0;
    }

private:
    pid_t id_ = -1;
    bool ended_ = false;
};

/// \brief A small deployment with the bounds of the site mrema-bags: gateways in front of model workers and of workers of a plain service.
class Fleet
{
public:
    static constexpr Milliseconds HEARTBEAT = Milliseconds(1200);
    static constexpr std::size_t MEMORY_MB = 260;

    /// \param caseFolder folder of the case, relative to the root of the repository, which is the working directory.
    explicit Fleet(const std::string &caseFolder)
        : record(caseFolder + "/record.txt")
        , network_("127." + std::to_string(16 + getpid() % 100) + '.' + std::to_string(getpid() / 100 % 250) + '.')
        , store(network_ + "1")
    {
        char pattern[] = "/tmp/review-XXXXXX";
        folder_ = mkdtemp(pattern);
        command_ = gatewayCommand();
        store.put("keyed.op", "config", configuration());
        for (std::uint16_t *port : {&ports_.front, &ports_.ready, &ports_.control, &ports_.notices, &ports_.metrics}) {
            *port = freePort("0.0.0.0");
        }
        heartbeats_ = std::thread([this] {
            while (!stopping_) {
                heartbeat();
                pauseFor(Milliseconds(100));
            }
        });
    }

    ~Fleet()
    {
        stopping_ = true;
        heartbeats_.join();
        workers_.clear();
        gateways_.clear();
        [[maybe_unused]] const int removed = std::system(("rm -rf " + folder_).c_str());
    }

    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /// \brief One worker, whose process may be replaced, and its entry in the store.
    struct WorkerSlot {
        std::string name;
        std::string service;
        std::vector<std::string> options;
        std::string id;
        Address address;
        std::string log;
        std::unique_ptr<Child> process;
        std::string state = "ready";
        std::int64_t born = 0;
        std::int64_t nextHeartbeat = 0;
        std::int64_t lastAlive = 0;
        int heartbeats = 0;
        int lifetimes = 0;
    };

    struct GatewaySlot {
        std::string name;
        std::string host;
        std::string settings;
        std::string log;
        std::unique_ptr<Child> process;
        /// \brief Processes that were ended for exceeding their memory.
        int exceeded = 0;
    };

    /// \brief Starts a worker of the model service or, without \a isModel, of the plain one.
    WorkerSlot &startWorker(const std::string &name, bool isModel, std::vector<std::string> options)
    {
        const std::lock_guard lock(mutex_);
        WorkerSlot &slot = workers_.emplace_back();
        slot.name = name;
        slot.service = isModel ? "desk-llm" : "order-app";
        slot.options = std::move(options);
        slot.address = {network_ + "1", freePort(network_ + "1")};
        slot.log = folder_ + '/' + name + ".log";
        if (isModel) {
            slot.options.emplace_back("phase=decode");
        }
        startLifetime(slot);
        return slot;
    }

    /// \brief Starts a new lifetime of a worker under a new id at the same address.
    void restartWorker(WorkerSlot &slot)
    {
        const std::lock_guard lock(mutex_);
        startLifetime(slot);
    }

    /// \brief The worker reports that it is draining, and says so in all its answers.
    void beginLeave(WorkerSlot &slot)
    {
        const std::lock_guard lock(mutex_);
        slot.state = "draining";
        slot.process->signal(SIGUSR1);
        writeEntry(slot);
        record.write("worker " + slot.id + " leaves");
    }

    void beginTrouble(WorkerSlot &slot)
    {
        const std::lock_guard lock(mutex_);
        slot.process->signal(SIGUSR1);
        record.write("worker " + slot.id + " is in trouble");
    }

    void killWorker(WorkerSlot &slot)
    {
        const std::lock_guard lock(mutex_);
        slot.process->end(SIGKILL);
        record.write("worker " + slot.id + " is gone");
    }

    /// \brief Returns the worker that began the newest stream, of those that run and are not leaving.
    WorkerSlot &newestStreamer()
    {
        const std::lock_guard lock(mutex_);
        WorkerSlot *newest = &workers_.front();
        std::int64_t newestTime = 0;
        for (WorkerSlot &slot : workers_) {
            std::ifstream file(slot.log);
            const bool sendsStreams = slot.service == "desk-llm" && slot.state == "ready" && slot.process->runs();
            for (std::string text; sendsStreams && std::getline(file, text);) {
                std::istringstream words(text);
                std::int64_t time = 0;
                std::string worker;
                std::string what;
                words >> time >> worker >> what;
                if (worker == slot.id && what == "ran" && time > newestTime) {
                    newest = &slot;
                    newestTime = time;
                }
            }
        }
        return *newest;
    }

    bool workerRuns(WorkerSlot &slot)
    {
        const std::lock_guard lock(mutex_);
        return slot.process->runs();
    }

    GatewaySlot &addGateway()
    {
        GatewaySlot &slot = gateways_.emplace_back();
        slot.name = "front-" + std::to_string(gateways_.size());
        slot.host = network_ + std::to_string(10 + gateways_.size());
        slot.settings = folder_ + '/' + slot.name + ".toml";
        slot.log = folder_ + '/' + slot.name + ".log";
        return slot;
    }

    void startGateway(GatewaySlot &slot)
    {
        writeSettings(slot);
        slot.process = std::make_unique<Child>(command_, std::vector<std::string> {"PATH=/usr/bin:/bin", "MIMOSATALLY_BOOT=" + slot.settings}, slot.log);
        record.write("gateway " + slot.name + " starts");
    }

    /// \brief Starts \a count gateways and waits until all are ready. \return false if they are not after 20 seconds.
    bool startGateways(int count)
    {
        for (int i = 0; i < count; ++i) {
            addGateway();
        }
        for (GatewaySlot &slot : gateways_) {
            startGateway(slot);
        }
        const std::int64_t end = nowMs() + 20'000;
        return std::ranges::all_of(gateways_, [&](GatewaySlot &slot) {
            while (!isReady(slot) && nowMs() < end) {
                pauseFor(Milliseconds(50));
            }
            return isReady(slot);
        });
    }

    [[nodiscard]] bool isReady(const GatewaySlot &slot) const
    {
        std::optional<Connection> connection = Connection::open({slot.host, ports_.ready});
        if (!connection || !connection->send("GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")) {
            return false;
        }
        const std::optional<HttpHead> head = connection->readHead(Milliseconds(500));
        return head && head->word(1) == "200";
    }

    std::list<GatewaySlot> &gateways()
    {
        return gateways_;
    }

    std::list<WorkerSlot> &workers()
    {
        return workers_;
    }

    [[nodiscard]] Address front(const GatewaySlot &slot) const
    {
        return {slot.host, ports_.front};
    }

    /// \brief A line of a worker's log.
    struct WorkerLine {
        std::int64_t time = 0;
        std::string worker;
        std::string what;
        std::string request;
        std::string rest;
    };

    /// \brief Everything that the workers have logged, by time; also copies it to the record.
    std::vector<WorkerLine> workerLines()
    {
        std::vector<WorkerLine> lines;
        for (const WorkerSlot &slot : workers_) {
            std::ifstream file(slot.log);
            for (std::string text; std::getline(file, text);) {
                std::istringstream words(text);
                WorkerLine line;
                words >> line.time >> line.worker >> line.what >> line.request;
                std::getline(words, line.rest);
                lines.push_back(std::move(line));
            }
        }
        std::ranges::stable_sort(lines, {}, &WorkerLine::time);
        for (const WorkerLine &line : lines) {
            record.write("at worker " + line.worker + ": " + line.what + ' ' + line.request + line.rest, line.time);
        }
        return lines;
    }

    Record record;

private:
    std::string network_;

public:
    StoreStandin store;

private:
    struct Ports {
        std::uint16_t front = 0;
        std::uint16_t ready = 0;
        std::uint16_t control = 0;
        std::uint16_t notices = 0;
        std::uint16_t metrics = 0;
    };

    /// \brief Command of the role `gateway` in the deploy file, split at spaces.
    static std::vector<std::string> gatewayCommand()
    {
        std::ifstream file("deploy/system.toml");
        std::vector<std::string> words;
        for (std::string line; std::getline(file, line);) {
            if (line.starts_with("run = \"")) {
                std::istringstream command(line.substr(7, line.rfind('"') - 7));
                for (std::string word; command >> word;) {
                    words.push_back(word);
                }
                break;
            }
        }
        return words;
    }

    /// \brief Settings in the form of deploy/gateway.toml.template.
    void writeSettings(const GatewaySlot &slot) const
    {
        std::string peers;
        for (const GatewaySlot &gateway : gateways_) {
            peers += (peers.empty() ? "\"" : ",\"") + Address {gateway.host, ports_.control}.text() + '"';
        }
        std::ofstream(slot.settings) << "process = \"" << slot.name << "\"\ndata_centre = \"arusha-a\"\nlisten = \"" << front(slot).text()
                                     << "\"\nreadiness = \"" << Address {slot.host, ports_.ready}.text() << "\"\npeer_listen = \""
                                     << Address {slot.host, ports_.control}.text() << "\"\nnotices = \"" << Address {slot.host, ports_.notices}.text()
                                     << "\"\nmetrics = \"" << Address {slot.host, ports_.metrics}.text() << "\"\nstore = \"" << store.address().text()
                                     << "\"\npeers = [" << peers
                                     << "]\ngrace_time = \"8s\"\norder_lease = \"3000ms\"\nretry_ratio = 0.2\nretry_slack = 52\nretry_window = \"10s\"\n"
                                     << "[[data_centres]]\nid = \"arusha-a\"\nregion = \"arusha\"\n";
    }

    static std::string configuration()
    {
        const auto route =
            [](const std::string &name, const std::string &kind, int timeoutMs, int targetMs, int priority, const std::string &service, int attempts) {
                return R"({"name":"r-)" + name + R"(","host":"desk.example","pathPrefix":"/)" + name + R"(/","kind":")" + kind + R"(","timeoutMs":)"
                       + std::to_string(timeoutMs) + R"(,"targetLatencyMs":)" + std::to_string(targetMs) + R"(,"priority":)" + std::to_string(priority)
                       + R"(,"service":")" + service + R"(","maxAttempts":)" + std::to_string(attempts)
                       + (kind == "streaming" ? std::string(R"(,"sessionAffinity":true,"targetGapMs":250,"resumable":)") + (attempts > 1 ? "true" : "false")
                                              : "")
                       + "}";
            };
        return R"({"version":7,"routes":[)" + route("credit-check", "streaming", 2000, 250, 0, "desk-llm", 1) + ','
               + route("grade-chat", "streaming", 15000, 200, 1, "desk-llm", 2) + ',' + route("place-order", "unsafe", 2000, 200, 2, "order-app", 1) + ','
               + route("order-status", "safe", 2000, 200, 2, "order-app", 2)
               + R"(],"services":[{"name":"desk-llm","healthPath":"/health","maxConns":610,"engine":{"slots":128,"kvCacheTokens":1529843,"tokenKvBytes":96256,)"
               + R"("linkMbps":4500000.0,"handleTtlS":5.0,"switchS":3.0}},{"name":"order-app","healthPath":"/health","maxConns":96}],)"
               + R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
    }

    void startLifetime(WorkerSlot &slot)
    {
        slot.id = "i-" + slot.name + '-' + std::to_string(++slot.lifetimes);
        slot.state = "ready";
        slot.born = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        slot.heartbeats = 0;
        std::vector<std::string> command = {
            "/proc/self/exe", "worker", "id=" + slot.id, "host=" + slot.address.host, "port=" + std::to_string(slot.address.port), "log=" + slot.log};
        command.insert(command.end(), slot.options.begin(), slot.options.end());
        slot.process = std::make_unique<Child>(command, std::vector<std::string> {}, folder_ + "/workers.out");
        record.write("worker " + slot.id + " starts at " + slot.address.text());
        while (!Connection::open(slot.address) && slot.process->runs()) {
            pauseFor(Milliseconds(5));
        }
        writeEntry(slot);
    }

    /// \brief Stage of a model worker: the one in which its lifetime began, or the last one to which an order has changed it.
    static std::string phaseOf(const WorkerSlot &slot)
    {
        std::string phase = "decode";
        std::ifstream file(slot.log);
        for (std::string text; std::getline(file, text);) {
            std::istringstream words(text);
            std::string time;
            std::string worker;
            std::string what;
            std::string value;
            words >> time >> worker >> what >> value;
            if (worker == slot.id && what == "phase") {
                phase = value;
            }
        }
        return phase;
    }

    void writeEntry(WorkerSlot &slot)
    {
        const bool isModel = slot.service == "desk-llm";
        slot.nextHeartbeat = nowMs() + HEARTBEAT.count();
        slot.lastAlive = nowMs();
        store.put("keyed.servers",
                  slot.id,
                  R"({"service":")" + slot.service + R"(","address":")" + slot.address.text() + R"(","zone":"arusha-a","version":"v1","slots":)"
                      + (isModel ? "128" : "6") + R"(,"state":")" + slot.state + R"(","coldLeftMs":0,)"
                      + (isModel ? R"("phase":")" + phaseOf(slot) + R"(","models":[{"name":"m","version":1,"adapters":[]}],)" : "") + R"("seqNum":)"
                      + std::to_string(++slot.heartbeats) + R"(,"born":)" + std::to_string(slot.born) + "}");
    }

    /// \brief Renews the entries of the workers that run; drops those that were silent for three intervals.
    void heartbeat()
    {
        const std::lock_guard lock(mutex_);
        for (WorkerSlot &slot : workers_) {
            if (slot.process->runs()) {
                if (nowMs() >= slot.nextHeartbeat) {
                    writeEntry(slot);
                }
            } else if (slot.lastAlive != 0 && nowMs() - slot.lastAlive >= 3 * HEARTBEAT.count()) {
                slot.lastAlive = 0;
                store.put("keyed.servers", slot.id, "");
            }
        }
    }

    std::string folder_;
    std::vector<std::string> command_;
    Ports ports_;
    std::mutex mutex_;
    std::list<WorkerSlot> workers_;
    std::list<GatewaySlot> gateways_;
    std::atomic<bool> stopping_ = false;
    std::thread heartbeats_;
};

/// \brief What a consumer saw of one request.
struct Outcome {
    std::string id;
    int status = 0;
    /// \brief The answer was complete by its framing.
    bool complete = false;
    std::string body;
    /// \brief The channel ended without an answer.
    bool cut = false;

    /// \brief Id of the last event of a stream; 0 if there is none.
    [[nodiscard]] int lastEvent() const
    {
        const std::size_t found = body.rfind("id: ");
        return found == std::string::npos ? 0 : std::atoi(body.c_str() + found + 4);
    }
};

/// \brief Request of a consumer.
struct Request {
    std::string id;
    std::string method = "POST";
    std::string path;
    int deadlineMs = 2000;
    std::string fields;
    std::string body;
};

/// \brief Returns an id that no other request of this process has.
inline std::string newRequestId()
{
    static std::atomic<unsigned> count = 0;
    std::ostringstream text;
    text << std::hex << 0x9c41d07b00000000ULL + ++count;
    return text.str();
}

/// \brief Fields of a generation. \param shared parts of the prompt before the last one, as ID:TOKENS entries.
inline std::string generationFields(const std::string &shared, int events, const std::string &id)
{
    return "X-Mimosatally-Model-Name: m\r\nX-Mimosatally-Token-Counts: 500," + std::to_string(events) + "\r\nX-Mimosatally-Prefix-Hash: " + shared + ',' + id
           + ":100\r\n";
}

/// \brief Sends a request on a new channel and reads its answer for as long as the consumer waits.
inline Outcome send(const Address &front, const Request &request)
{
    Outcome outcome;
    outcome.id = request.id;
    std::optional<Connection> connection = Connection::open(front);
    if (!connection) {
        return outcome;
    }
    const std::int64_t end = nowMs() + request.deadlineMs + 1000;
    const auto left = [end] {
        return Milliseconds(std::max<std::int64_t>(0, end - nowMs()));
    };
    connection->send(request.method + ' ' + request.path + " HTTP/1.1\r\nHost: desk.example\r\nX-Mimosatally-Request-Id: " + request.id
                     + "\r\nX-Mimosatally-Request-Deadline: " + std::to_string(request.deadlineMs) + "\r\n" + request.fields
                     + (request.method == "GET" ? "" : "Content-Length: " + std::to_string(request.body.size()) + "\r\n") + "\r\n" + request.body);
    const std::optional<HttpHead> head = connection->readHead(left());
    if (!head) {
        outcome.cut = nowMs() < end;
        return outcome;
    }
    outcome.status = std::atoi(head->word(1).c_str());
    if (head->field("transfer-encoding") != "chunked") {
        const std::optional<std::string> body = connection->readBytes(std::strtoul(head->field("content-length").c_str(), nullptr, 10), left());
        outcome.complete = body.has_value();
        outcome.body = body.value_or("");
        return outcome;
    }
    for (;;) {
        const std::optional<std::string> size = connection->readUntil("\r\n", left());
        const std::size_t bytes = size ? std::strtoul(size->c_str(), nullptr, 16) : 0;
        const std::optional<std::string> data = size ? connection->readBytes(bytes + 2, left()) : std::nullopt;
        if (!data) {
            return outcome;
        }
        if (bytes == 0) {
            outcome.complete = true;
            return outcome;
        }
        outcome.body += data->substr(0, bytes);
    }
}

/// \brief Consumers, each on a thread of its own; all outcomes are recorded.
class Consumers
{
public:
    explicit Consumers(Record &record)
        : record_(record)
    {
    }

    void start(const Address &front, Request request)
    {
        threads_.emplace_back([this, front, request = std::move(request)] {
            record_.write("sent " + request.id + ' ' + request.path + " to " + front.text());
            Outcome outcome = send(front, request);
            record_.write("answered " + outcome.id + ' ' + std::to_string(outcome.status) + (outcome.complete ? " complete" : " incomplete") + " events up to "
                          + std::to_string(outcome.lastEvent()) + (outcome.cut ? ", channel ended without an answer" : ""));
            const std::lock_guard lock(mutex_);
            outcomes_[outcome.id] = std::move(outcome);
        });
    }

    /// \brief Waits for all answers and returns them by the ids of their requests.
    const std::map<std::string, Outcome> &finish()
    {
        for (std::thread &thread : threads_) {
            thread.join();
        }
        threads_.clear();
        return outcomes_;
    }

private:
    Record &record_;
    std::mutex mutex_;
    std::map<std::string, Outcome> outcomes_;
    std::list<std::thread> threads_;
};

/// \brief Returns whether the case runs with its disruption.
inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// \brief Writes and prints the verdict. \return the exit status.
inline int verdict(Record &record, bool broken, const std::string &text)
{
    const std::string line = std::string(broken ? "BROKEN: " : "HELD: ") + text;
    record.write(line);
    std::cout << line << '\n';
    return broken ? RULE_BROKEN : RULE_HELD;
}

/// \brief Runs a worker if the arguments ask for one, and the case otherwise.
inline int runCase(int count, char **arguments, const std::function<int(Fleet &)> &scenario)
{
    if (count > 1 && std::string(arguments[1]) == "worker") {
        return Worker(WorkerOptions::parse({arguments + 2, arguments + count})).run();
    }
    if (count < 2) {
        std::cerr << "usage: " << arguments[0] << " FOLDER-OF-THE-CASE\n";
        return CANNOT_RUN;
    }
    Fleet fleet(arguments[1]);
    const int result = scenario(fleet);
    if (result == CANNOT_RUN) {
        std::cout << "the case cannot run\n";
    }
    return result;
}

} // namespace review
