#pragma once

#include <string>
#include <vector>

namespace tamarackcove {

/// One measured figure with its unit.
struct BenchFigure
{
    std::string name;
    std::string unit;
    double value = 0;
};

using BenchFigures = std::vector<BenchFigure>;

} // namespace tamarackcove
