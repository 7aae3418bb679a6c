#include "log_reader.h"

#include <fstream>

namespace wisteriayard::ctl {

Status readLines(const std::string& file, const std::function<void(std::size_t, const std::string&)>& handleLine)
{
    std::ifstream in(file, std::ios::binary);
    if (!in)
        return fail(Errc::NotFound, "cannot open the log " + file);
    std::size_t number = 0;
    for (std::string line; std::getline(in, line);)
        handleLine(++number, line);
    return boost::outcome_v2::success();
}

} // namespace wisteriayard::ctl
