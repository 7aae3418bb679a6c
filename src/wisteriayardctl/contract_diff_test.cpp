#define BOOST_TEST_MODULE contract_diff
#include "commands.h"
#include "contract_diff.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace wisteriayard::ctl;

namespace {

const std::string base
    = R"({"account":"a","weight":2,"classes":[{"name":"x","tier":"top"},{"name":"y","tier":"bulk"}]})";

struct DiffCase {
    const char* second;
    const char* expected;
};

std::ostream& operator<<(std::ostream& out, const DiffCase& c) { return out << c.second; }

// Guards against a conflict report that omits a differing field.
const DiffCase diffCases[] = {
    { R"({"weight":2,"account":"a","classes":[{"tier":"top","name":"x"},{"name":"y","tier":"bulk"}]})", "" },
    { R"({"account":"a","weight":3,"classes":[{"name":"x","tier":"top"},{"name":"y","tier":"bulk"}]})", "weight:2:3;" },
    { R"({"account":"a","classes":[{"name":"x","tier":"top"},{"name":"y","tier":"bulk"}]})", "weight:2:;" },
    { R"({"account":"a","weight":2,"classes":[{"name":"x","tier":"top"},{"name":"y","tier":"interactive"}]})",
        "classes[y].tier:\"bulk\":\"interactive\";" },
    { R"({"account":"a","weight":2,"classes":[{"name":"y","tier":"bulk"},{"name":"x","tier":"top"}]})",
        "classes:[\"x\",\"y\"]:[\"y\",\"x\"];" },
};

} // namespace

BOOST_DATA_TEST_CASE(names_differing_fields, boost::unit_test::data::make(diffCases))
{
    std::string text;
    for (const FieldDifference& each : differingFields(base, sample.second))
        text += each.path + ":" + each.first + ":" + each.second + ";";
    BOOST_TEST(text == sample.expected);
}

// Guards against a command that findCommand does not find or whose help has no example.
BOOST_AUTO_TEST_CASE(every_command_is_found_and_has_an_example)
{
    for (const CommandInfo& command : allCommands()) {
        std::vector<std::string> words;
        std::string name(command.name);
        std::size_t space = name.find(' ');
        words.push_back(name.substr(0, space));
        if (space != std::string::npos)
            words.push_back(name.substr(space + 1));
        BOOST_TEST(findCommand(words) == &command);
        BOOST_TEST(command.example.find(command.name) != std::string_view::npos, command.name);
        BOOST_TEST(commandHelp(&command).find("Example: ") != std::string::npos);
    }
    BOOST_TEST(!findCommand({ "contract", "erase" }));
    BOOST_TEST(!findCommand({}));
}
