#include "tamarackcove/Operator/OperatorTool.h"

#include <iostream>

int main(int argc, char **argv)
{
    int exitCode = 0;
    const auto command = tamarackcove::parseOperatorCommand(argc, argv, TAMARACKCOVE_VERSION, std::cerr, exitCode);
    return command ? tamarackcove::runOperatorCommand(*command, std::cout, std::cerr) : exitCode;
}
