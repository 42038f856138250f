// Gives the precompiled header a target to belong to.
