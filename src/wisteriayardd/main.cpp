#include "agent.h"
#include "entry.h"
#include "settings.h"

#include <iostream>

using namespace wisteriayard;

namespace {

struct RoleRunner {
    int operator()(const EntrySettings& settings) const { return runEntry(settings); }
    int operator()(const AgentSettings& settings) const { return runAgent(settings); }
    int operator()(const ShowText& show) const
    {
        std::cout << show.text;
        return 0;
    }
};

} // namespace

int main(int argc, char** argv)
{
    constexpr int usageError = 2;
    auto settings = parseSettings(argc, argv);
    if (!settings) {
        std::cerr << "wisteriayardd: " << settings.error().message << "; see --help\n";
        return usageError;
    }
    return std::visit(RoleRunner {}, settings.value());
}
