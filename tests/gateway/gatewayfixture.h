#pragma once

#include "callerconnection.h"
#include "endpointstandin.h"
#include "process/testclient.h"
#include "process/testprogram.h"
#include "storestandin.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <thread>

namespace mimosatally::test
{

/// \brief A gateway process between stand-ins of the store and of endpoints; the stand-ins run on a thread of their own.
class GatewayFixture
{
public:
    GatewayFixture()
        : work_(boost::asio::make_work_guard(io_))
        , store_(io_)
        , thread_([this] {
            io_.run();
        })
    {
    }

    ~GatewayFixture()
    {
        gateway_.reset();
        peer_.reset();
        io_.stop();
        thread_.join();
    }

    GatewayFixture(const GatewayFixture &) = delete;
    GatewayFixture &operator=(const GatewayFixture &) = delete;

    /// \brief Context of the stand-ins, for further ones.
    boost::asio::io_context &io()
    {
        return io_;
    }

    /// \brief Runs \a function on the thread of the stand-ins.
    template<class Function>
    decltype(auto) onStandins(Function function)
    {
        std::packaged_task<decltype(function())()> task(std::move(function));
        auto result = task.get_future();
        boost::asio::post(io_, std::ref(task));
        return result.get();
    }

    /// \brief Starts an endpoint without writing an entry of it.
    EndpointStandin &addEndpoint(EndpointStandin::Script script)
    {
        return onStandins([&]() -> EndpointStandin & {
            endpoints_.push_back(std::make_unique<EndpointStandin>(io_, std::move(script)));
            return *endpoints_.back();
        });
    }

    template<class Script>
    EndpointStandin &addEndpoint(const std::string &id,
                                 const std::string &service,
                                 Script script,
                                 const std::string &extraFields = {},
                                 const std::string &version = "v1",
                                 const std::string &host = "127.0.0.1")
    {
        return onStandins([&]() -> EndpointStandin & {
            endpoints_.push_back(std::make_unique<EndpointStandin>(io_, std::move(script), host));
            announce(id, service, endpoints_.back()->address(), "ready", extraFields, version);
            return *endpoints_.back();
        });
    }

    /// \brief Writes a heartbeat of an endpoint. Must be called on the thread of the stand-ins.
    void announce(const std::string &id,
                  const std::string &service,
                  const std::string &address,
                  const std::string &state,
                  const std::string &extraFields = {},
                  const std::string &version = "v1")
    {
        store_.put("keyed.servers",
                   id,
                   R"({"service":")" + service + R"(","address":")" + address + R"(","zone":"here","version":")" + version + R"(","slots":8,"state":")" + state
                       + R"(","born":5)" + extraFields + "}");
    }

    /// \brief Text of a configuration with one route of each kind for host `h`.
    static std::string configurationText(int version = 1, int timeoutMs = 3000)
    {
        const auto route = [timeoutMs](const std::string &name, const std::string &kind, const std::string &service, const std::string &extraFields) {
            return R"({"name":")" + name + R"(","host":"h","pathPrefix":"/)" + name + R"(/","kind":")" + kind + R"(","timeoutMs":)" + std::to_string(timeoutMs)
                   + R"(,"targetLatencyMs":1000,"priority":1,"service":")" + service + R"(","maxAttempts":2)" + extraFields + "}";
        };
        return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + route("safe", "safe", "plain", "") + "," + route("post", "unsafe", "plain", "")
               + "," + route("stream", "streaming", "plain", R"(,"resumable":false)") + "," + route("resume", "streaming", "plain", R"(,"resumable":true)")
               + "," + route("generate", "streaming", "model", R"(,"resumable":false)")
               + R"(],"services":[{"name":"plain","maxConns":50},{"name":"model","maxConns":50,"engine":{"slots":8,"kvCacheTokens":100000,"tokenKvBytes":1000,"linkMbps":1000000}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
    }

    /// \brief Puts such a configuration in force.
    void configure(int version = 1, int timeoutMs = 3000)
    {
        onStandins([&] {
            store_.put("keyed.op", "config", configurationText(version, timeoutMs));
        });
    }

    /// \brief Starts a second gateway that only serves other gateways. \return its address for them.
    std::string startPeer()
    {
        const std::string directory = BINARY_DIRECTORY;
        const std::string address = freeAddress();
        const std::string name = directory + "/peer-" + std::to_string(getpid());
        std::ofstream(name + ".toml") << "process = \"g2\"\ndata_centre = \"here\"\nlisten = \"" << freeAddress() << "\"\nreadiness = \"" << freeAddress()
                                      << "\"\npeer_listen = \"" << address << "\"\nstore = \"" << store_.address() << "\"\n";
        peer_.emplace(directory + "/mimosatally", std::vector<std::string> {"gateway", name + ".toml"}, name + ".log");
        peer_->waitForOutput("ServingConfigurationInForce");
        peer_->waitForOutput("EndpointChanged");
        return address;
    }

    /// \param extraSettings further lines of the settings file, before its tables.
    void startGateway(const std::string &extraSettings = {}, const std::string &store = {})
    {
        const std::string directory = BINARY_DIRECTORY;
        callerAddress_ = freeAddress();
        readinessAddress_ = freeAddress();
        metricsAddress_ = freeAddress();
        const std::string file = directory + "/gateway-" + std::to_string(getpid()) + ".toml";
        std::ofstream(file) << "process = \"g1\"\ndata_centre = \"here\"\nlisten = \"" << callerAddress_ << "\"\nreadiness = \"" << readinessAddress_
                            << "\"\nmetrics = \"" << metricsAddress_ << "\"\nstore = \"" << (store.empty() ? store_.address() : store)
                            << "\"\ngrace_time = \"3s\"\n"
                            << extraSettings << "[[data_centres]]\nid = \"here\"\nregion = \"r\"\n";
        gateway_.emplace(directory + "/mimosatally", std::vector<std::string> {"gateway", file}, directory + "/gateway-" + std::to_string(getpid()) + ".log");
        waitUntil("the gateway listens", [this] {
            return canConnect(readinessAddress_);
        });
    }

    void awaitReady()
    {
        waitUntil("the gateway is ready", [this] {
            return readinessStatus() == 200;
        });
    }

    [[nodiscard]] unsigned readinessStatus() const
    {
        return TestCall(readinessAddress_, makeHttpRequest(http::verb::get, "/-/readiness")).response().result_int();
    }

    /// \brief A caller's request with an id and a deadline.
    static HttpRequest request(http::verb method, const std::string &target, const std::string &id, int deadlineMs = 3000)
    {
        HttpRequest result = makeHttpRequest(method, target, method == http::verb::post ? "text/plain" : "", method == http::verb::post ? "body" : "");
        result.set("X-Mimosatally-Request-Id", id);
        result.set("X-Mimosatally-Request-Deadline", std::to_string(deadlineMs));
        return result;
    }

    /// \brief Sends a request on a connection of its own. \throws boost::system::system_error if the answer is cut off.
    HttpResponse call(HttpRequest request)
    {
        return start(std::move(request))->response();
    }

    std::unique_ptr<CallerConnection> start(HttpRequest request)
    {
        auto connection = std::make_unique<CallerConnection>(callerAddress_);
        connection->send(std::move(request));
        return connection;
    }

    [[nodiscard]] const std::string &callerAddress() const
    {
        return callerAddress_;
    }

    [[nodiscard]] const std::string &metricsAddress() const
    {
        return metricsAddress_;
    }

    TestProgram &gateway()
    {
        return *gateway_;
    }

    StoreStandin &store()
    {
        return store_;
    }

    /// \brief Starts a second, empty store, for a gateway that can be cut off while others are in touch.
    StoreStandin &addStore()
    {
        return onStandins([&]() -> StoreStandin & {
            furtherStores_.push_back(std::make_unique<StoreStandin>(io_));
            return *furtherStores_.back();
        });
    }

private:
    static bool canConnect(const std::string &address)
    {
        boost::asio::io_context io;
        boost::asio::ip::tcp::socket socket(io);
        boost::system::error_code error;
        socket.connect(parseAddress(address), error);
        return !error;
    }

    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    StoreStandin store_;
    std::vector<std::unique_ptr<StoreStandin>> furtherStores_;
    std::vector<std::unique_ptr<EndpointStandin>> endpoints_;
    std::thread thread_;
    std::string callerAddress_;
    std::string readinessAddress_;
    std::string metricsAddress_;
    std::optional<TestProgram> peer_;
    std::optional<TestProgram> gateway_;
};

} // namespace mimosatally::test
