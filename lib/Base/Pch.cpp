// The CMake target that builds the precompiled header needs a source file.
