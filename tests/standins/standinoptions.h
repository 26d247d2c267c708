#pragma once

#include <map>
#include <stdexcept>
#include <string>

namespace mimosatally::standin
{

/// \brief Options of a stand-in, given as `--name value` pairs.
class StandinOptions
{
public:
    StandinOptions(int argc, char **argv)
    {
        for (int i = 1; i + 1 < argc; i += 2) {
            const std::string name = argv[i];
            if (!name.starts_with("--")) {
                throw std::invalid_argument("expected --name value, got " + name);
            }
            values_[name.substr(2)] = argv[i + 1];
        }
        if (argc % 2 == 0) {
            throw std::invalid_argument("an option has no value");
        }
    }

    [[nodiscard]] std::string text(const std::string &name, const std::string &defaultValue) const
    {
        const auto found = values_.find(name);
        return found == values_.end() ? defaultValue : found->second;
    }

    [[nodiscard]] long number(const std::string &name, long defaultValue) const
    {
        const auto found = values_.find(name);
        return found == values_.end() ? defaultValue : std::stol(found->second);
    }

private:
    std::map<std::string, std::string> values_;
};

} // namespace mimosatally::standin
