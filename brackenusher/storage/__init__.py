"""What must outlive a process: two slots written in turn and a short log between.

It never knows what the bytes mean.
"""
