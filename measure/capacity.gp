# Plots measurements of the capacity program. Run it in the root of the
# repository, after the output of the subcommands stewards, standing and
# member_change has been written to docs/measurements/capacity_SUBCOMMAND.txt.
# Usage: gnuplot measure/capacity.gp
set terminal svg size 640,400 font "sans,12"
set output "docs/measurements/capacity_members.svg"
set logscale xy
set xlabel "VMs in the member view (map: in the group)"
set ylabel "ms"
set key left top
set grid
prefix = "docs/measurements/capacity_"
row(name, file) = sprintf("< grep '%s ' %s%s.txt", name, prefix, file)
plot row("stewards.member_change", "stewards") using 2:3 with linespoints \
         title "pollers and stewards of 24,000 targets (decide thread)", \
     row("standing.steward_view", "standing") using 2:3 with linespoints \
         title "steward view, every 500 ms (peers thread)", \
     row("apply_view.death_in_group", "member_change") using 2:3 \
         with linespoints title "bucket maps (decide thread)"
