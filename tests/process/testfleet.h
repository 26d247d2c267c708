#pragma once

#include "testclient.h"
#include "testprogram.h"

#include <mimosatally/Config>

#include <filesystem>
#include <map>
#include <memory>

namespace mimosatally::test
{

/// \brief Entries, agents and stand-ins on loopback addresses that share one published configuration. Add endpoints and
/// customers first, then call publish(), then start the processes.
class TestFleet
{
public:
    TestFleet()
        : directory_(makeDirectory())
        , operatorKeys_(generateSigningKeyPair())
    {
        log_ = startProgram("standin_log", "log", {});
        logAddress_ = log_->waitForAddress();
        instances_ = startProgram("standin_instances", "instances", {});
        instancesAddress_ = instances_->waitForAddress();
    }

    /// \brief Ends every program; keeps the files of their output if the environment variable MIMOSATALLY_KEEP_LOGS is set.
    ~TestFleet()
    {
        if (std::getenv("MIMOSATALLY_KEEP_LOGS") != nullptr) {
            return;
        }
        entries_.clear();
        agents_.clear();
        standins_.clear();
        std::filesystem::remove_all(directory_);
    }

    TestFleet(const TestFleet &) = delete;
    TestFleet &operator=(const TestFleet &) = delete;

    /// \brief Adds an engine of model `model-a` with its stand-in. \param settings further TOML lines of the endpoint.
    void addEngine(const std::string &name, std::vector<std::string> standinOptions = {}, const std::string &settings = {})
    {
        startStandin(name, "standin_engine", std::move(standinOptions));
        addEndpoint(name, "kind = \"engine\"\nmodels = [\"model-a\"]\n" + settings);
    }

    /// \brief Adds an endpoint of service `tickets` with its stand-in.
    void addService(const std::string &name, std::vector<std::string> standinOptions = {}, const std::string &settings = {})
    {
        startStandin(name, "standin_service", std::move(standinOptions));
        addEndpoint(name, "kind = \"service\"\nservice = \"tickets\"\n" + settings);
    }

    /// \brief Adds a customer whose API key is `key-<name>`.
    void addCustomer(const std::string &name, const std::string &share, const std::string &longestWait, int priority = 0)
    {
        contractsToml_ += "[[contracts]]\ncustomer = \"" + name + "\"\nshare = \"" + share + "\"\nlongest_wait = \"" + longestWait
                          + "\"\npriority = " + std::to_string(priority) + "\napi_key_hashes = [\"" + sha256Hex("key-" + name) + "\"]\n";
    }

    /// \brief Appends a signed `publish` record. \return its offset.
    Offset publish()
    {
        documentOffset_ = publishOn(documentOffset_);
        return documentOffset_;
    }

    /// \brief Appends a signed `publish` record that names \a base as its base, which need not be current. \return its offset.
    Offset publishOn(Offset base)
    {
        return append("configuration", makePublishRecord(RecordId(newUniqueId()), base, OperatorId("operator-1"), document(), operatorKeys_.privateKey));
    }

    /// \brief Appends a signed record that applies \a action to the instance of \a endpoint. \return its offset.
    Offset appendInstanceRecord(InstanceAction action, const std::string &endpoint)
    {
        return append(
            "configuration",
            makeInstanceRecord(RecordId(newUniqueId()), action, InstanceId("instance-" + endpoint), OperatorId("operator-1"), operatorKeys_.privateKey));
    }

    /// \brief Starts the agent of an endpoint and waits until it listens. \param settings further TOML lines of its settings.
    TestProgram &startAgent(const std::string &endpoint, const std::string &settings = {})
    {
        const std::string file =
            writeFile("agent-" + endpoint + ".toml",
                      commonSettings("agent-" + endpoint, "instance-" + endpoint) + "listen = \"" + agentAddresses_.at(endpoint) + "\"\nendpoint = \""
                          + endpoint + "\"\nendpoint_address = \"" + standinAddresses_.at(endpoint) + "\"\n" + settings);
        agents_[endpoint] = startProgram("mimosatally", "agent-" + endpoint, {"agent", file});
        agents_[endpoint]->waitForOutput("ProcessStarted");
        return *agents_[endpoint];
    }

    /// \brief Starts an entry and waits until it is ready and all started agents are usable.
    TestProgram &startEntry(const std::string &name)
    {
        const std::string file = writeFile(name + ".toml", commonSettings(name, "instance-" + name) + "listen = \"127.0.0.1:0\"\n");
        entries_[name] = startProgram("mimosatally", name, {"entry", file});
        entryAddresses_[name] = entries_[name]->waitForAddress();
        waitUntil(name + " is ready", [&] {
            return get(entryAddress(name), "/readyz").result_int() == 200;
        });
        for (const auto &[endpoint, agent] : agents_) {
            waitForState(name, endpoint, "usable");
        }
        return *entries_[name];
    }

    /// \brief Waits until the entry's status page shows the state of an endpoint.
    void waitForState(const std::string &entryName, const std::string &endpoint, const std::string &state)
    {
        waitUntil(endpoint + " is " + state, [&] {
            const nlohmann::json page = status(entryName);
            for (const auto &item : page.at("endpoints")) {
                if (item.at("id") == endpoint) {
                    return item.at("state") == state;
                }
            }
            return false;
        });
    }

    nlohmann::json status(const std::string &entryName)
    {
        return jsonOf(get(entryAddress(entryName), "/operator/v1/status", "operator-key"));
    }

    [[nodiscard]] const std::string &entryAddress(const std::string &name) const
    {
        return entryAddresses_.at(name);
    }

    [[nodiscard]] const std::string &standinAddress(const std::string &endpoint) const
    {
        return standinAddresses_.at(endpoint);
    }

    [[nodiscard]] const std::string &logAddress() const
    {
        return logAddress_;
    }

    [[nodiscard]] const std::string &agentAddress(const std::string &endpoint) const
    {
        return agentAddresses_.at(endpoint);
    }

    TestProgram &agent(const std::string &endpoint)
    {
        return *agents_.at(endpoint);
    }

    TestProgram &entry(const std::string &name)
    {
        return *entries_.at(name);
    }

    TestProgram &standin(const std::string &endpoint)
    {
        return *standins_.at(endpoint);
    }

    /// \brief Appends a record to the log. \return its offset.
    Offset append(const std::string &stream, const std::string &record)
    {
        const nlohmann::json body = {{"records", {{{"value", nlohmann::json::parse(record)}}}}};
        const HttpResponse response =
            call(logAddress_, makeHttpRequest(http::verb::post, "/topics/" + stream, "application/vnd.kafka.json.v1+json", body.dump()));
        return Offset(jsonOf(response).at("offsets").at(0).at("offset").get<std::int64_t>());
    }

    /// \brief Injects faults into the log stand-in; its usage text lists them.
    void controlLog(const nlohmann::json &faults)
    {
        call(logAddress_, jsonPost("/control", faults));
    }

    /// \brief Returns all records of a stream as JSON objects.
    nlohmann::json records(const std::string &stream)
    {
        const HttpResponse response = get(logAddress_, "/topics/" + stream + "/partitions/0/messages?offset=0&count=100000");
        nlohmann::json list = nlohmann::json::array();
        if (response.result_int() == 200) {
            for (const auto &message : jsonOf(response)) {
                list.push_back(message.at("value"));
            }
        }
        return list;
    }

    [[nodiscard]] const SigningKeyPair &operatorKeys() const
    {
        return operatorKeys_;
    }

private:
    static std::filesystem::path makeDirectory()
    {
        std::string name = (std::filesystem::temp_directory_path() / "mimosatally-test-XXXXXX").string();
        if (mkdtemp(name.data()) == nullptr) {
            throw Error("cannot create a directory for the test");
        }
        return name;
    }

    std::unique_ptr<TestProgram> startProgram(const std::string &binary, const std::string &name, std::vector<std::string> arguments)
    {
        return std::make_unique<TestProgram>(BINARY_DIRECTORY "/" + binary, std::move(arguments), (directory_ / (name + ".log")).string());
    }

    void startStandin(const std::string &name, const std::string &binary, std::vector<std::string> options)
    {
        standins_[name] = startProgram(binary, "standin-" + name, std::move(options));
        standinAddresses_[name] = standins_[name]->waitForAddress();
        agentAddresses_[name] = freeAddress();
    }

    void addEndpoint(const std::string &name, const std::string &settings)
    {
        endpointsToml_ += "[[endpoints]]\nid = \"" + name + "\"\ninstance = \"instance-" + name
                          + "\"\ndata_centre = \"dc-1\"\nregion = \"region-1\"\nagent_address = \"" + agentAddresses_.at(name) + "\"\n" + settings + "\n";
    }

    [[nodiscard]] std::string document() const
    {
        return "models = [\"model-a\"]\n[[data_centres]]\nid = \"dc-1\"\nregion = \"region-1\"\n[[operators]]\nid = \"operator-1\"\npublic_key = \""
               + operatorKeys_.publicKey + "\"\napi_key_hash = \"" + sha256Hex("operator-key") + "\"\n" + contractsToml_
               + "[[services]]\nid = \"tickets\"\n[[services.routes]]\nmethod = \"POST\"\npath_prefix = \"/notes\"\nmay_repeat = true\n" + endpointsToml_;
    }

    [[nodiscard]] std::string commonSettings(const std::string &process, const std::string &instance) const
    {
        return "process = \"" + process + "\"\ninstance = \"" + instance + "\"\nregion = \"region-1\"\ndata_centre = \"dc-1\"\nlog_service = \"" + logAddress_
               + "\"\ninstance_list = \"" + instancesAddress_ + "\"\nseed = 7\nbootstrap_operators = [{id = \"operator-1\", public_key = \""
               + operatorKeys_.publicKey + "\"}]\n";
    }

    std::string writeFile(const std::string &name, const std::string &text) const
    {
        const std::string path = (directory_ / name).string();
        std::ofstream(path) << text;
        return path;
    }

    std::filesystem::path directory_;
    SigningKeyPair operatorKeys_;
    std::unique_ptr<TestProgram> log_;
    std::unique_ptr<TestProgram> instances_;
    std::string logAddress_;
    std::string instancesAddress_;
    std::map<std::string, std::unique_ptr<TestProgram>> standins_;
    std::map<std::string, std::unique_ptr<TestProgram>> agents_;
    std::map<std::string, std::unique_ptr<TestProgram>> entries_;
    std::map<std::string, std::string> standinAddresses_;
    std::map<std::string, std::string> agentAddresses_;
    std::map<std::string, std::string> entryAddresses_;
    std::string endpointsToml_;
    std::string contractsToml_;
    Offset documentOffset_ = Offset(-1);
};

} // namespace mimosatally::test
