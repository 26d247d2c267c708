#include <mimosatally/LogService>

#include <nlohmann/json.hpp>

namespace mimosatally
{

namespace http = boost::beast::http;
using boost::asio::awaitable;

namespace
{
std::string label(const nlohmann::json &labels, const char *name)
{
    const auto found = labels.find(name);
    return found != labels.end() && found->is_string() ? found->get<std::string>() : std::string();
}

ListedInstance parseInstance(const nlohmann::json &labels, std::string address)
{
    ListedInstance instance;
    instance.instance = InstanceId(label(labels, "instance"));
    instance.region = RegionId(label(labels, "region"));
    instance.dataCentre = DataCentreId(label(labels, "data_centre"));
    instance.role = label(labels, "role");
    instance.endpoint = EndpointId(label(labels, "endpoint"));
    instance.leaving = label(labels, "state") == "leaving";
    instance.address = std::move(address);
    return instance;
}

std::vector<ListedInstance> parseInstances(const std::string &body)
{
    std::vector<ListedInstance> instances;
    try {
        for (const nlohmann::json &group : nlohmann::json::parse(body)) {
            const nlohmann::json labels = group.value("labels", nlohmann::json::object());
            for (const nlohmann::json &target : group.at("targets")) {
                instances.push_back(parseInstance(labels, target.get<std::string>()));
            }
        }
    } catch (const nlohmann::json::exception &error) {
        throw MalformedInputError(std::string("instance list: ") + error.what());
    }
    return instances;
}
} // namespace

InstanceListClient::InstanceListClient(boost::asio::io_context &io, boost::asio::ip::tcp::endpoint server)
    : client_(io, std::move(server))
{
}

awaitable<std::vector<ListedInstance>> InstanceListClient::fetch(Duration timeout)
{
    const HttpResponse response = co_await client_.send(makeHttpRequest(http::verb::get, "/instances"), timeout);
    if (response.result() != http::status::ok) {
        throw UnreachableError("instance list: status " + std::to_string(response.result_int()));
    }
    co_return parseInstances(response.body());
}

} // namespace mimosatally
