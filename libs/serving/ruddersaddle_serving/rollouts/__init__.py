"""Service rollouts: traffic moves to a new software version by proof, and leaves a bad one."""
