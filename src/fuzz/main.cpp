// Runs the fuzz targets with inputs that are made from a corpus. The sanitizers, or a broken rule, end the process.
#include "mutator.h"
#include "targets.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>

using namespace wisteriayard::fuzz;

namespace {

constexpr int usageError = 2;

std::string readFile(const std::filesystem::path& path)
{
    std::ifstream file(path, std::ios::binary);
    return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
}

/// Contents of the files of a folder in the order of their names.
std::vector<std::string> readCorpus(const std::filesystem::path& folder)
{
    std::vector<std::filesystem::path> paths;
    for (const auto& entry : std::filesystem::directory_iterator(folder))
        paths.push_back(entry.path());
    std::sort(paths.begin(), paths.end());
    std::vector<std::string> corpus;
    std::transform(paths.begin(), paths.end(), std::back_inserter(corpus), readFile);
    return corpus;
}

/// Runs a target with the files of the corpus and then with inputs made from them. Each input is written to a file
/// before it is run, so that the file holds the finding if the process ends.
void run(const Target& target, const std::filesystem::path& corpusFolder, std::uint64_t seed, long runs)
{
    std::vector<std::string> corpus = readCorpus(corpusFolder / target.name);
    std::string name = "fuzz-" + target.name + ".input";
    for (const std::string& input : corpus)
        target.run(input);
    Mutator mutator(std::move(corpus), seed);
    std::ofstream last(name, std::ios::binary);
    for (long i = 0; i < runs; ++i) {
        std::string input = mutator.next();
        last.seekp(0);
        last << input.size() << "\n" << input << std::flush;
        target.run(input);
    }
    last.close();
    std::filesystem::remove(name);
    std::cout << target.name << ": seed " << seed << ", " << runs << " inputs passed" << std::endl;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4) {
        std::cerr << "usage: fuzz_driver CORPUS SEED RUNS\n"
                     "Runs each target RUNS times. On a finding, fuzz-TARGET.input in the current folder has the size "
                     "of the input in its first line and the input behind it.\n";
        return usageError;
    }
    for (const Target& target : targets())
        run(target, argv[1], std::strtoull(argv[2], nullptr, 10), std::strtol(argv[3], nullptr, 10));
    return 0;
}
