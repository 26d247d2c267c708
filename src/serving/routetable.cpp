#include <mimosatally/serving/routetable.h>

#include <algorithm>

namespace mimosatally
{

namespace
{
/// \brief Returns \a host in lower case, without its port.
std::string hostName(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::ranges::transform(name, name.begin(), [](unsigned char c) {
        return static_cast<char>(c >= 'A' && c <= 'Z' ? c - 'A' + 'a' : c);
    });
    return name;
}
} // namespace

RouteTable::RouteTable(std::shared_ptr<const ServingConfiguration> configuration, const Checkpoint &checkpoint)
    : configuration_(std::move(configuration))
{
    for (const Route &route : configuration_->routes) {
        // The key of an earlier route with this host and prefix stays: it has the same text.
        hosts_[hostName(route.host)][route.pathPrefix] = &route;
        checkpoint();
    }
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto prefixes = hosts_.find(hostName(host));
    if (prefixes == hosts_.end()) {
        return nullptr;
    }
    std::size_t slash = path.rfind('/');
    while (slash != std::string_view::npos) {
        const auto route = prefixes->second.find(path.substr(0, slash + 1));
        if (route != prefixes->second.end()) {
            return route->second;
        }
        slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1);
    }
    return nullptr;
}

} // namespace mimosatally
