# Usage: gnuplot measure/capacity.gp   (from the root, after the sub-commands
# stewards, standing and member_change have been run)
set terminal svg size 640,400 font "sans,12"
set output "docs/measurements/capacity_members.svg"
set logscale xy
set xlabel "VMs in the member view (map: in the group)"
set ylabel "ms"
set key left top
set grid
dir = "docs/measurements/capacity_"
row(name, file) = sprintf("< grep '%s ' %s%s.txt", name, dir, file)
plot row("stewards.member_change", "stewards") using 2:3 with linespoints \
         title "readers and stewards of 24,000 targets (decide thread)", \
     row("standing.steward_view", "standing") using 2:3 with linespoints \
         title "steward view, each 500 ms (peers thread)", \
     row("apply_view.death_in_group", "member_change") using 2:3 \
         with linespoints title "bucket maps (decide thread)"
