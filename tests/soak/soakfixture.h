#pragma once

#include "gateway/callerconnection.h"
#include "gateway/endpointstandin.h"
#include "gateway/storestandin.h"
#include "process/testprogram.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <mimosatally/Audit>

#include <future>
#include <random>
#include <set>
#include <sstream>
#include <thread>

namespace mimosatally::test
{

/// \brief Outcomes of all calls, as observed by callers and endpoints.
class Observations
{
public:
    void recordExecution(const std::string &id)
    {
        const std::lock_guard lock(mutex_);
        ++executions_[id];
    }

    void recordRefusal(const std::string &id)
    {
        const std::lock_guard lock(mutex_);
        refused_.insert(id);
    }

    void recordAnswer()
    {
        const std::lock_guard lock(mutex_);
        ++answered_;
    }

    void addFinding(const std::string &text)
    {
        const std::lock_guard lock(mutex_);
        findings_.push_back(text);
    }

    /// \brief Returns all violated guarantees, including those that are found only at the end of the run.
    std::vector<std::string> findings()
    {
        const std::lock_guard lock(mutex_);
        std::vector<std::string> all = findings_;
        for (const auto &[id, executions] : executions_) {
            if (id.starts_with("post-") && executions > 1) {
                all.push_back("executed " + std::to_string(executions) + " times: " + id);
            }
            if (id.starts_with("post-") && refused_.contains(id)) {
                all.push_back("refused as not executed, but was executed: " + id);
            }
        }
        if (answered_ == 0) {
            all.emplace_back("no call was answered");
        }
        return all;
    }

    [[nodiscard]] int answerCount() const
    {
        const std::lock_guard lock(mutex_);
        return answered_;
    }

private:
    mutable std::mutex mutex_;
    std::map<std::string, int> executions_;
    std::set<std::string> refused_;
    std::vector<std::string> findings_;
    int answered_ = 0;
};

/// \brief Two gateways between a store and endpoints that fail at random; the stand-ins run on a thread of their own.
class SoakFixture
{
public:
    static constexpr int GATEWAYS = 2;
    static constexpr int ENDPOINTS = 3;
    static constexpr int EVENTS = 5;

    SoakFixture(std::uint64_t seed, Observations &observations)
        : random_(seed)
        , observations_(observations)
        , work_(boost::asio::make_work_guard(io_))
        , store_(io_)
    {
        for (int i = 0; i < ENDPOINTS; ++i) {
            addEndpoint();
        }
        store_.stateEra(1);
        putConfiguration(version_);
        copy_ = store_.copy();
        for (int i = 0; i < GATEWAYS; ++i) {
            callerAddresses_.push_back(freeAddress());
            peerAddresses_.push_back(freeAddress());
            readinessAddresses_.push_back(freeAddress());
            gateways_.emplace_back();
        }
        thread_ = std::thread([this] {
            io_.run();
        });
        for (int i = 0; i < GATEWAYS; ++i) {
            startGateway(i);
        }
    }

    ~SoakFixture()
    {
        for (const std::unique_ptr<TestProgram> &gateway : gateways_) {
            gateway->send(SIGTERM);
            gateway->wait();
            verifyLog(*gateway);
        }
        gateways_.clear();
        io_.stop();
        thread_.join();
    }

    SoakFixture(const SoakFixture &) = delete;
    SoakFixture &operator=(const SoakFixture &) = delete;

    [[nodiscard]] const std::string &callerAddress(std::size_t gateway) const
    {
        return callerAddresses_[gateway % GATEWAYS];
    }

    /// \brief Injects one random fault and returns when it is over.
    void injectFault()
    {
        const int gateway = static_cast<int>(random_() % GATEWAYS);
        switch (random_() % 9) {
        case 0:
            gateways_[static_cast<std::size_t>(gateway)]->send(SIGSTOP);
            sleepFor(300 + random_() % 700);
            gateways_[static_cast<std::size_t>(gateway)]->send(SIGCONT);
            break;
        case 1:
            gateways_[static_cast<std::size_t>(gateway)]->send(SIGKILL);
            restart(gateway);
            break;
        case 2:
            gateways_[static_cast<std::size_t>(gateway)]->send(SIGTERM);
            restart(gateway);
            break;
        case 3:
            gateways_[static_cast<std::size_t>(gateway)]->send(SIGHUP);
            break;
        case 4:
            setStoreMode(random_() % 2 == 0 ? StoreMode::Unavailable : StoreMode::Unresponsive);
            sleepFor(500 + random_() % 1500);
            setStoreMode(StoreMode::Serving);
            break;
        case 5:
            replaceEndpoint();
            break;
        case 6:
            configure(++version_);
            break;
        case 7:
            restoreStore();
            break;
        default:
            break;
        }
        sleepFor(random_() % 400);
    }

private:
    static void sleepFor(std::uint64_t milliseconds)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
    }

    static std::string route(const std::string &name, const std::string &kind)
    {
        return R"({"name":")" + name + R"(","host":"h","pathPrefix":"/)" + name + R"(/","kind":")" + kind
               + R"(","timeoutMs":2000,"targetLatencyMs":500,"service":"plain","maxAttempts":2,"resumable":true})";
    }

    /// \brief Returns an endpoint's answer to a request, which counts as executed unless it is rejected.
    AnswerSteps answer(const HttpRequest &request, std::mt19937_64 &random)
    {
        const std::string id = requestIdOf(request);
        const std::uint64_t outcome = random() % 20;
        if (outcome == 0) {
            return {bytes(rejection())};
        }
        observations_.recordExecution(id);
        if (outcome == 1) {
            return {resetting()};
        }
        if (id.starts_with("stream-")) {
            return streamOf(request, random, outcome);
        }
        const std::string complete = wholeAnswer(id, "answer to " + id);
        if (outcome == 2) {
            return {bytes(complete.substr(0, complete.size() - 4)), closing()};
        }
        if (outcome == 3) {
            return {bytes(complete + complete)};
        }
        if (outcome == 4) {
            return {pauseFor(static_cast<int>(random() % 2500)), bytes(complete)};
        }
        return {pauseFor(static_cast<int>(random() % 20)), bytes(complete)};
    }

    static AnswerSteps streamOf(const HttpRequest &request, std::mt19937_64 &random, std::uint64_t outcome)
    {
        const std::string after = headerValue(request, "Last-Event-Id");
        int next = after.empty() ? 1 : std::stoi(after) + 1;
        AnswerSteps steps = {bytes(streamHead(requestIdOf(request)))};
        for (; next <= EVENTS; ++next) {
            const std::string event = "id: " + std::to_string(next) + "\ndata: " + requestIdOf(request) + "\n\n";
            if (outcome == 2 && random() % 3 == 0) {
                steps.push_back(bytes(chunk(event.substr(0, event.size() / 2))));
                steps.push_back(resetting());
                return steps;
            }
            steps.push_back(bytes(chunk(event)));
            steps.push_back(pauseFor(static_cast<int>(random() % 10)));
        }
        steps.push_back(bytes(lastChunk()));
        return steps;
    }

    /// \brief Adds an endpoint and announces it. Must be called on the thread of the stand-ins, or before that thread starts.
    void addEndpoint()
    {
        const auto random = std::make_shared<std::mt19937_64>(random_());
        endpoints_.push_back(std::make_unique<EndpointStandin>(io_, [this, random](const HttpRequest &request) {
            return answer(request, *random);
        }));
        announce(endpoints_.size() - 1, "ready");
    }

    void announce(std::size_t endpoint, const std::string &state)
    {
        store_.put("keyed.servers",
                   "i-" + std::to_string(endpoint),
                   R"({"service":"plain","address":")" + endpoints_[endpoint]->address() + R"(","zone":"here","version":"v1","slots":8,"state":")" + state
                       + R"(","born":1})");
    }

    template<class Function>
    void onStandins(Function function)
    {
        std::packaged_task<void()> task(std::move(function));
        auto done = task.get_future();
        boost::asio::post(io_, std::ref(task));
        done.get();
    }

    void configure(int version)
    {
        onStandins([&] {
            putConfiguration(version);
        });
    }

    /// \brief Must be called on the thread of the stand-ins, or before that thread starts.
    void putConfiguration(int version)
    {
        store_.put("keyed.op",
                   "config",
                   R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + route("post", "unsafe") + "," + route("safe", "safe") + ","
                       + route("stream", "streaming") + R"(],"services":[{"name":"plain","maxConns":100}],"limits":{"idleTimeoutMs":15000}})");
    }

    /// \brief The store is away for a random time and returns from the last copy; its writers write again what they had written, after a random time.
    void restoreStore()
    {
        if (random_() % 2 == 0) {
            setStoreMode(StoreMode::Unavailable);
            sleepFor(random_() % 1000);
        }
        onStandins([&] {
            store_.restore(copy_);
            store_.setMode(StoreMode::Serving);
        });
        sleepFor(random_() % 1500);
        onStandins([&] {
            putConfiguration(version_);
            for (std::size_t i = 0; i < endpoints_.size(); ++i) {
                announce(i, i + ENDPOINTS < endpoints_.size() ? "draining" : "ready");
            }
            copy_ = store_.copy();
        });
    }

    void setStoreMode(StoreMode mode)
    {
        onStandins([&] {
            store_.setMode(mode);
        });
    }

    void replaceEndpoint()
    {
        onStandins([&] {
            announce(endpoints_.size() - ENDPOINTS, "draining");
            addEndpoint();
        });
    }

    void startGateway(int number)
    {
        const auto index = static_cast<std::size_t>(number);
        const std::string name = std::string(BINARY_DIRECTORY) + "/soak-" + std::to_string(getpid()) + "-" + std::to_string(number);
        std::ofstream(name + ".toml") << "process = \"g" << number << "\"\ndata_centre = \"here\"\nlisten = \"" << callerAddresses_[index]
                                      << "\"\nreadiness = \"" << readinessAddresses_[index] << "\"\npeer_listen = \"" << peerAddresses_[index]
                                      << "\"\nstore = \"" << store_.address() << "\"\ngrace_time = \"4s\"\npeers = [\"" << peerAddresses_[0] << "\", \""
                                      << peerAddresses_[1] << "\"]\n";
        gateways_[index] =
            std::make_unique<TestProgram>(std::string(BINARY_DIRECTORY) + "/mimosatally", std::vector<std::string> {"gateway", name + ".toml"}, name + ".log");
        // Until the process has installed its signal handlers, a signal ends it by default; it accepts nothing before that.
        gateways_[index]->waitForOutput("ProcessStarted");
    }

    void restart(int number)
    {
        const auto index = static_cast<std::size_t>(number);
        const int end = gateways_[index]->wait();
        if (end != 0 && end != -SIGKILL) {
            observations_.addFinding("a gateway ended with " + std::to_string(end));
        }
        verifyLog(*gateways_[index]);
        startGateway(number);
    }

    /// \brief Verifies the log of a gateway; lines after the last checkpoint are allowed, since the process may have been killed.
    void verifyLog(const TestProgram &gateway)
    {
        LineVerifier verifier("gateway " + std::to_string(gateway.id()));
        std::istringstream lines(gateway.output());
        for (std::string line; std::getline(lines, line);) {
            verifier.add(line);
        }
        for (const Finding &finding : verifier.report().findings) {
            observations_.addFinding("log of a gateway: " + toString(finding));
        }
    }

    std::mt19937_64 random_;
    Observations &observations_;
    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    StoreStandin store_;
    /// \brief What the store returns to; as old as the last restore.
    StoreStandin::Copy copy_;
    int version_ = 1;
    std::vector<std::unique_ptr<EndpointStandin>> endpoints_;
    std::vector<std::string> callerAddresses_;
    std::vector<std::string> peerAddresses_;
    std::vector<std::string> readinessAddresses_;
    std::vector<std::unique_ptr<TestProgram>> gateways_;
    std::thread thread_;
};

} // namespace mimosatally::test
