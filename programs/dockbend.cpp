#include <cstdio>
int main() { std::printf("dockbend\n"); return 0; }
