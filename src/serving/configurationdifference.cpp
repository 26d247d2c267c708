#include <mimosatally/serving/configurationdifference.h>
#include <mimosatally/serving/keytable.h>

#include <algorithm>
#include <map>

namespace mimosatally
{

namespace
{
const RouteId &idOf(const Route &route)
{
    return route.id;
}

const ServiceId &idOf(const ServiceProfile &service)
{
    return service.id;
}

const OrganisationId &idOf(const Organisation &organisation)
{
    return organisation.id;
}

template<class Entry>
auto byId(const std::vector<Entry> &entries)
{
    std::map<std::remove_cvref_t<decltype(idOf(entries.front()))>, const Entry *> result;
    for (const Entry &entry : entries) {
        result[idOf(entry)] = &entry;
    }
    return result;
}

template<class Entry>
void addChanges(const std::vector<Entry> &before, const std::vector<Entry> &after, std::vector<ConfigurationChange> &changes)
{
    const auto old = byId(before);
    const auto next = byId(after);
    for (const auto &[id, entry] : old) {
        const auto found = next.find(id);
        if (found == next.end()) {
            changes.emplace_back(EntryChange<Entry> {*entry, std::nullopt});
        } else if (*found->second != *entry) {
            changes.emplace_back(EntryChange<Entry> {*entry, *found->second});
        }
    }
    for (const auto &[id, entry] : next) {
        if (!old.contains(id)) {
            changes.emplace_back(EntryChange<Entry> {std::nullopt, *entry});
        }
    }
}

std::vector<ServiceProfile> listOf(const std::map<ServiceId, ServiceProfile> &services)
{
    std::vector<ServiceProfile> result;
    result.reserve(services.size());
    for (const auto &[id, service] : services) {
        result.push_back(service);
    }
    return result;
}

template<class Entry>
void applyTo(std::vector<Entry> &entries, const EntryChange<Entry> &change)
{
    const Entry known = change.before ? *change.before : change.after.value_or(Entry());
    std::erase_if(entries, [&known](const Entry &entry) {
        return idOf(entry) == idOf(known);
    });
    if (change.after) {
        entries.push_back(*change.after);
    }
}

/// \brief Applies one kind of change each to a configuration.
struct Apply {
    ServingConfiguration &configuration;

    void operator()(const AuthenticationChange &change) const
    {
        configuration.organisations = change.required ? std::optional(std::vector<Organisation>()) : std::nullopt;
    }

    void operator()(const RouteChange &change) const
    {
        applyTo(configuration.routes, change);
    }

    void operator()(const ServiceChange &change) const
    {
        if (change.before) {
            configuration.services.erase(change.before->id);
        }
        if (change.after) {
            configuration.services.emplace(change.after->id, *change.after);
        }
    }

    void operator()(const OrganisationChange &change) const
    {
        std::vector<Organisation> organisations = configuration.organisations.value_or(std::vector<Organisation>());
        applyTo(organisations, change);
        configuration.organisations = std::move(organisations);
    }

    void operator()(const LimitsChange &change) const
    {
        configuration.limits = change.after;
    }
};

std::string servicesText(const Route &route)
{
    std::string text;
    for (const WeightedService &part : route.services) {
        text += (text.empty() ? "" : ", ") + part.service.value() + " (" + std::to_string(part.weight) + ')';
    }
    return text;
}

std::string routeText(const Route &route)
{
    return "route " + route.id.value() + " (" + route.host + route.pathPrefix + ')';
}

/// \brief Adds `, NAME BEFORE -> AFTER` to \a text if the values differ.
void addValue(std::string &text, const char *name, const std::string &before, const std::string &after)
{
    if (before != after) {
        text += std::string(text.empty() ? "" : ", ") + name + ' ' + before + " -> " + after;
    }
}

std::string routeDetails(const Route &before, const Route &after)
{
    const auto ms = [](Duration duration) {
        return std::to_string(duration.count()) + " ms";
    };
    const auto repeats = [](const Route &route) {
        return std::string(route.retryPolicy == RetryPolicy::Idempotent ? "yes" : "no");
    };
    std::string text;
    addValue(text, "address", before.host + before.pathPrefix, after.host + after.pathPrefix);
    addValue(text, "services", servicesText(before), servicesText(after));
    addValue(text, "timeout", ms(before.timeout), ms(after.timeout));
    addValue(text, "latency target", ms(before.latencyTarget), ms(after.latencyTarget));
    addValue(text, "priority", std::to_string(before.priority), std::to_string(after.priority));
    addValue(text, "attempts", std::to_string(before.maxAttempts), std::to_string(after.maxAttempts));
    addValue(text, "may be repeated", repeats(before), repeats(after));
    addValue(text, "public", before.isPublic ? "yes" : "no", after.isPublic ? "yes" : "no");
    return text.empty() ? "the form of its answers" : text;
}

std::size_t keysMissingIn(const std::vector<KeyDigest> &keys, const std::vector<KeyDigest> &others)
{
    return static_cast<std::size_t>(std::ranges::count_if(keys, [&others](const KeyDigest &key) {
        return std::ranges::find(others, key) == others.end();
    }));
}

/// \brief Describes one kind of change each.
struct Describe {
    std::string operator()(const AuthenticationChange &change) const
    {
        return change.required ? "callers must authenticate: calls without a valid key get 401, except on public routes"
                               : "callers need no keys any more: every call is accepted";
    }

    std::string operator()(const RouteChange &change) const
    {
        const Route before = change.before.value_or(Route());
        const Route after = change.after.value_or(Route());
        if (!change.after) {
            return routeText(before) + " is removed: its callers get 404 unless another prefix matches";
        }
        if (!change.before) {
            return routeText(after) + " is added, to " + servicesText(after);
        }
        return routeText(after) + " changes: " + routeDetails(before, after);
    }

    std::string operator()(const ServiceChange &change) const
    {
        if (!change.after) {
            return "service " + change.before.value_or(ServiceProfile()).id.value() + " is removed: it gets no calls any more";
        }
        return "service " + change.after->id.value() + (change.before ? " changes its limits or engine profile" : " is added");
    }

    std::string operator()(const OrganisationChange &change) const
    {
        const Organisation before = change.before.value_or(Organisation());
        const Organisation after = change.after.value_or(Organisation());
        if (!change.after) {
            return "organisation " + before.id.value() + " is removed: calls with its " + std::to_string(before.keys.size()) + " keys get 401";
        }
        const std::string name = "organisation " + after.id.value();
        if (!change.before) {
            return name + " is added with " + std::to_string(after.keys.size()) + " keys";
        }
        const std::size_t removed = keysMissingIn(before.keys, after.keys);
        std::string text = name + " changes: " + std::to_string(removed) + " keys are removed and get 401, "
                           + std::to_string(keysMissingIn(after.keys, before.keys)) + " are added";
        if (before.priority != after.priority) {
            text += ", another priority";
        }
        return text;
    }

    std::string operator()(const LimitsChange &change) const
    {
        return "limits of callers change: header " + std::to_string(change.after.maxHeaderBytes) + " bytes, body " + std::to_string(change.after.maxBodyBytes)
               + " bytes, header timeout " + std::to_string(change.after.headerTimeout.count()) + " ms, idle timeout "
               + std::to_string(change.after.idleTimeout.count()) + " ms";
    }
};
} // namespace

std::vector<ConfigurationChange> difference(const ServingConfiguration &before, const ServingConfiguration &after)
{
    std::vector<ConfigurationChange> changes;
    if (before.organisations.has_value() != after.organisations.has_value()) {
        changes.emplace_back(AuthenticationChange {after.organisations.has_value()});
    }
    addChanges(before.routes, after.routes, changes);
    addChanges(listOf(before.services), listOf(after.services), changes);
    if (after.organisations) {
        addChanges(before.organisations.value_or(std::vector<Organisation>()), *after.organisations, changes);
    }
    if (before.limits != after.limits) {
        changes.emplace_back(LimitsChange {after.limits});
    }
    return changes;
}

ServingConfiguration applyChanges(ServingConfiguration configuration, const std::vector<ConfigurationChange> &changes)
{
    for (const ConfigurationChange &change : changes) {
        std::visit(Apply {configuration}, change);
    }
    return configuration;
}

std::string describe(const ConfigurationChange &change)
{
    return std::visit(Describe(), change);
}

} // namespace mimosatally
