#include "commands.h"

#include <iostream>
#include <map>

namespace wisteriayard::ctl {

namespace {

    constexpr const char* scriptHead
        = R"(# bash completion for wisteriayardctl; use: source <(wisteriayardctl completion bash)
_wisteriayardctl()
{
    local current="${COMP_WORDS[COMP_CWORD]}" previous="${COMP_WORDS[COMP_CWORD-1]}" words=""
    if [[ "$current" == -* ]]; then
        words="--account --contracts --entry --export --help --if-revision --json --last --log --output-tokens --platform --prompt --replay --reports --store --time-left-ms --wait-ms"
    else
        case "$previous" in
)";

    constexpr const char* scriptTail = R"(        *) ;;
        esac
    fi
    mapfile -t COMPREPLY < <(compgen -W "$words" -- "$current")
}
complete -o bashdefault -o default -F _wisteriayardctl wisteriayardctl
)";

} // namespace

Command completion(Context&, const Arguments& arguments)
{
    if (arguments.words[0] != "bash")
        co_return fail(Errc::InvalidArgument, "no completion for \"" + arguments.words[0] + "\"; expected bash");
    std::map<std::string, std::string> next;
    std::string first;
    for (const CommandInfo& command : allCommands()) {
        std::string name(command.name);
        std::size_t space = name.find(' ');
        std::string word = name.substr(0, space);
        if (!next.count(word))
            first += (first.empty() ? "" : " ") + word;
        std::string& after = next[word];
        if (space != std::string::npos)
            after += (after.empty() ? "" : " ") + name.substr(space + 1);
    }
    next["completion"] = "bash";
    std::string script = scriptHead;
    for (const auto& [word, after] : next) {
        if (!after.empty())
            script += "        " + word + ") words=\"" + after + "\" ;;\n";
    }
    script += "        wisteriayardctl) words=\"" + first + "\" ;;\n";
    std::cout << script << scriptTail;
    co_return ExitCode::Ok;
}

} // namespace wisteriayard::ctl
